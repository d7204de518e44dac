#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::harness {

/// A request as a caller makes it. The marker tells its answer from others.
struct call_request
{
    std::string workspace;
    std::string pipeline;
    core::milliseconds deadline{3000};
    std::string priority = "normal";
    std::string idempotency_key;
    bool stream = false;
    std::string marker;
    /// Tokens of the answer; 0 leaves it to the stand-in.
    std::uint32_t answer_tokens = 0;
};

enum class call_outcome
{
    complete,   ///< The whole answer to this request.
    not_run,    ///< A refusal that says so.
    unknown,    ///< A failure whose effect is not known.
    partial,    ///< A stream that ended with an error event.
    incomplete, ///< A stream or answer without its end.
    crossed,    ///< An answer to another request, or a wrong one.
    no_answer,  ///< The connection broke or the time was over.
    no_connection,
    invalid, ///< A 4xx answer.
};

struct call_result
{
    call_outcome outcome = call_outcome::no_connection;
    int status = 0;
    std::string code;
    std::int64_t retry_after_ms = 0;
    std::uint32_t tokens = 0;
    std::uint32_t attempts = 0;
    bool replayed = false;
    core::duration first_token{};
    core::duration latency{};
    std::string text; ///< The body or the last event.
};

/// One caller's connection to one node. Not thread-safe.
class caller
{
public:
    /// \param address IP and port of the node.
    explicit caller(const std::string& address);
    ~caller();
    caller(caller&&) noexcept;
    auto operator=(caller&&) noexcept -> caller&;

    auto run(const call_request& request) -> call_result;

private:
    struct state;
    std::unique_ptr<state> data;
};

[[nodiscard]] auto to_string(call_outcome outcome) -> std::string;

} // namespace almondtiller::harness
