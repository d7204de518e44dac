#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace httplib {
class Server;
struct Response;
} // namespace httplib

namespace almondtiller::services {

/// What a fake upstream was asked to run.
struct received_run
{
    std::string attempt;
    std::string input;
    std::string idempotency_key;
    bool stream = false;
    std::uint64_t resume_from = 0;
};

/// An upstream in this process whose answers a test writes.
class fake_upstream
{
public:
    /// Answers one run.
    using script = std::function<void(const received_run&, httplib::Response&)>;

    explicit fake_upstream(script answer);
    ~fake_upstream();
    fake_upstream(const fake_upstream&) = delete;
    auto operator=(const fake_upstream&) -> fake_upstream& = delete;

    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto runs() const -> std::vector<received_run>;
    [[nodiscard]] auto cancelled() const -> std::vector<std::string>;

private:
    struct state;
    std::unique_ptr<state> data;
};

/// Answers with the input as the output.
auto echo(const received_run& run, httplib::Response& response) -> void;

/// Answers 503 and says that nothing was started.
auto refuse_run(const received_run& run, httplib::Response& response) -> void;

/// Streams the tokens from the resumption index up to \a last; ends the
/// stream only when \a whole.
auto stream_tokens(const received_run& run, httplib::Response& response,
                   std::uint64_t last, bool whole) -> void;

} // namespace almondtiller::services
