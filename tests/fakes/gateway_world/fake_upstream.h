#pragma once

#include "gateway_world/http_server.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondtiller::gateway_world {

/// How an upstream treats work.
enum class upstream_mode
{
    works,
    hangs,          ///< Takes requests and never answers.
    breaks_off,     ///< Cuts answers in the middle.
    full,           ///< Turns everything away as not run.
    full_for_frees, ///< Turns away only calls that free results.
    endless,        ///< Begins an answer and sends bytes until it is cut.
};

/// What an upstream has begun to run.
struct run_record
{
    std::string request;
    std::string upstream;
    std::string path;
    core::time_point at;
};

/// A result of a stage that stands.
struct stage_output
{
    std::string request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
};

/// What all upstreams of a test share: their journal, the results that stand,
/// and what was wrong with the work that they got.
struct upstream_journal
{
    std::vector<run_record> runs;
    /// Everything that has reached an upstream, also what was turned away.
    std::vector<run_record> arrivals;
    std::map<std::string, stage_output> results;
    std::uint64_t stage_calls = 0;
    /// Sent in answers that never end.
    std::uint64_t endless_bytes = 0;
    std::uint64_t freed = 0;
    std::vector<std::string> faults;
    std::uint64_t last_handle = 0;
};

/// Events of a whole stream.
constexpr auto stream_events = 6;

/// \return The whole body of an answer to a request.
[[nodiscard]] auto expected_body(const std::string& request, bool is_stream)
    -> std::string;

/// A stand-in of an upstream: plain, model engine or stage engine, by what it
/// is asked.
class fake_upstream
{
public:
    fake_upstream(event::loop& owner, std::string id, std::string service,
                  std::string zone, upstream_journal& journal);
    ~fake_upstream();

    [[nodiscard]] auto id() const -> const std::string&;
    [[nodiscard]] auto service() const -> const std::string&;
    [[nodiscard]] auto zone() const -> const std::string&;
    [[nodiscard]] auto address() const -> std::string;

    auto set_mode(upstream_mode mode) -> void;

    /// Says in every answer that it is about to end.
    auto set_leaving(bool leaves) -> void;

    /// What it says with each refusal: for how many seconds it wants nothing.
    auto set_hold_off(std::string seconds) -> void;

    /// Lets others reach it through a proxy at that address.
    auto set_advertised(std::string address) -> void;

    /// Resets every connection and accepts no more.
    auto crash() -> void;

private:
    auto on_request(const http1::request_message& request,
                    const std::shared_ptr<http1::exchange>& exchange) -> void;
    /// Goes on until the caller closes, about 60 MB a second.
    auto send_endless(const std::shared_ptr<http1::exchange>& exchange) -> void;
    auto run_stage(const http1::request_message& request,
                   const std::shared_ptr<http1::exchange>& exchange) -> void;
    auto free_results(const http1::request_message& request,
                      const std::shared_ptr<http1::exchange>& exchange) -> void;
    auto run_plain(const std::string& request,
                   const std::shared_ptr<http1::exchange>& exchange) -> void;
    auto run_stream(const std::string& request, int first,
                    const std::shared_ptr<http1::exchange>& exchange) -> void;
    [[nodiscard]] auto answer_head(const std::string& request) const
        -> http1::header_list;
    auto check_inputs(const http1::request_message& request,
                      const std::string& id) -> int;
    auto after(core::milliseconds delay, std::function<void()> action) -> void;

    event::loop& owner;
    std::string own_id;
    std::string own_service;
    std::string own_zone;
    upstream_journal& journal;
    std::string advertised;
    std::vector<std::shared_ptr<http1::exchange>> held;
    std::set<std::shared_ptr<event::timer>> timers;
    upstream_mode mode = upstream_mode::works;
    bool is_leaving = false;
    std::string hold_off;
    /// Goes first, as its requests use the rest.
    http_server server;
};

} // namespace almondtiller::gateway_world
