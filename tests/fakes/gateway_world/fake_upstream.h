#pragma once

#include "gateway_world/raw_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondtiller::gateway_world {

/// Failure mode of an upstream.
enum class upstream_mode
{
    works,
    hangs,          ///< Accepts requests and never answers.
    aborts_answers, ///< Aborts answers half-way.
    loses_answers,  ///< Aborts answers before they begin.
    rejects_all,    ///< Rejects every request as not run.
    rejects_late,   ///< Rejects every request as not run, after a while.
    rejects_frees,  ///< Rejects only calls that free results.
    endless,        ///< Sends an answer without end.
    pauses_streams, ///< Sends nothing for a while in the middle of a stream.
    answers_late,   ///< Sends answers other than streams after a while.
    answers_twice,  ///< Sends each stage answer again before the next answer.
    /// Sends each stage answer again before the next stage answer.
    repeats_stage_answers,
    /// Rejects its first request for a lost input, sends that answer again
    /// before the next one, and works from then on.
    rejects_twice,
    aborts_between_events,  ///< Aborts streams after a complete event.
    ends_within_event,      ///< Ends streams properly inside the last event.
    sends_no_event,         ///< Ends streams properly before the first event.
    answers_without_status, ///< Sends answers whose status is 000.
    fails_resumed_streams,  ///< Answers 500 to requests that resume a stream.
};

/// A request that has reached an upstream or was started by it.
struct run_record
{
    std::string request;
    std::string upstream;
    std::string path;
    core::time_point at;
};

/// A stage result that an upstream keeps.
struct stage_output
{
    std::string request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
};

/// Record that all upstreams of a test share: requests, the stage results that
/// are kept, and errors found in the requests.
struct upstream_journal
{
    std::vector<run_record> runs;
    /// All requests that have reached an upstream, including rejected ones.
    std::vector<run_record> arrivals;
    /// Requests that have crashed an upstream.
    std::vector<run_record> crashes;
    std::map<std::string, stage_output> results;
    std::uint64_t stage_calls = 0;
    /// Bytes sent in answers without end.
    std::uint64_t endless_bytes = 0;
    std::uint64_t freed = 0;
    std::vector<std::string> violations;
    std::uint64_t last_handle = 0;
};

/// How long an upstream that pauses streams or answers late is silent, unless
/// set.
constexpr auto silence = core::milliseconds(1600);

/// How long a request waits at an upstream that rejects it late.
constexpr auto rejection_delay = core::milliseconds(300);

/// The piece key of every request of the callers.
constexpr auto expected_piece_key = "piece";

/// Number of events of a complete stream.
constexpr auto stream_events = 6;

/// \return The complete body of the answer to a request.
[[nodiscard]] auto expected_body(const std::string& request, bool is_stream)
    -> std::string;

/// A fake upstream that acts as a plain service, a model engine or a stage
/// engine, depending on the request.
class fake_upstream
{
public:
    fake_upstream(event::loop& event_loop, std::string id, std::string service,
                  std::string zone, upstream_journal& journal);
    ~fake_upstream();

    [[nodiscard]] auto id() const -> const std::string&;
    [[nodiscard]] auto service() const -> const std::string&;
    [[nodiscard]] auto zone() const -> const std::string&;
    [[nodiscard]] auto address() const -> std::string;

    auto set_mode(upstream_mode mode) -> void;

    /// Sets the version that the upstream registers; "v1" unless set.
    auto set_version(std::string name) -> void;
    [[nodiscard]] auto version() const -> const std::string&;

    /// Makes one in \a count answers a failure with status 500; none if 0.
    auto set_failing_every(int count) -> void;

    /// Makes the upstream answer every request with this status after it has
    /// run it, without stating that it has not; never if 0.
    auto set_failure_status(int status) -> void;

    /// Makes answers take this many times as long.
    auto set_slowness(int factor) -> void;

    /// Sets how the end of every answer of a request or stage is marked; unless
    /// set, streams have chunks and other answers a length.
    auto set_framing(answer_framing framing) -> void;

    /// Makes every answer announce that the upstream is leaving.
    auto set_leaving(bool leaves) -> void;

    /// Sets the Retry-After of rejections in seconds; none if empty.
    auto set_hold_off(std::string seconds) -> void;

    /// Sets the requests per second that every answer states as the limit of
    /// the upstream; no limit if empty.
    auto set_request_limit(std::string per_second) -> void;

    /// Sets the load that every answer states; none if empty.
    auto set_load(std::string figures) -> void;

    /// Makes the upstream crash when it begins to answer a request whose prompt
    /// has this part, and return after a while; never if empty.
    auto set_fatal_part(std::string part) -> void;

    /// Makes the upstream crash when it begins to run a request with this body,
    /// and return after a while; never if empty.
    auto set_fatal_body(std::string text) -> void;

    /// Sets how long the upstream is silent when it pauses streams or answers
    /// late.
    auto set_silence(core::milliseconds length) -> void;

    /// Closes every connection and accepts no more.
    auto block() -> void;

    /// Stands still, as a process that gets no processor time: it accepts,
    /// reads and sends nothing, and keeps its connections and requests.
    auto stand_still() -> void;
    auto go_on() -> void;
    [[nodiscard]] auto is_standing_still() const -> bool;

    /// Sets the address to register instead of its own, such as a proxy's.
    auto set_advertised(std::string address) -> void;

    /// Closes every connection and the listener, and discards its results.
    auto crash() -> void;

private:
    auto on_request(const http1::request_message& request,
                    const std::shared_ptr<raw_exchange>& exchange) -> void;
    auto serve(const http1::request_message& request, const std::string& id,
               const std::shared_ptr<raw_exchange>& exchange) -> void;
    /// Sends about 60 MB a second until the caller closes the connection.
    auto send_endless(const std::shared_ptr<raw_exchange>& exchange) -> void;
    auto reject(const std::shared_ptr<raw_exchange>& exchange) -> void;
    auto reject_twice(const std::string& request,
                      const std::shared_ptr<raw_exchange>& exchange) -> void;
    auto run_stage(const http1::request_message& request,
                   const std::shared_ptr<raw_exchange>& exchange) -> void;
    auto free_results(const http1::request_message& request,
                      const std::shared_ptr<raw_exchange>& exchange) -> void;
    auto run_plain(const std::string& request,
                   const std::shared_ptr<raw_exchange>& exchange) -> void;
    /// Crashes when the answer begins, and listens again after a while.
    auto crash_and_return(const run_record& cause) -> void;
    auto send_answer(const http1::header_list& headers, const std::string& body,
                     const std::shared_ptr<raw_exchange>& exchange) -> void;
    /// \return The time between an event and the one before it.
    [[nodiscard]] auto delay_before(int event) const -> core::milliseconds;
    auto run_stream(const std::string& request, int first,
                    const std::shared_ptr<raw_exchange>& exchange) -> void;
    auto send_event(const std::string& request, int number,
                    const std::shared_ptr<raw_exchange>& exchange) -> void;
    /// \return \a headers with the request limit, if there is one.
    [[nodiscard]] auto with_limit(http1::header_list headers) const
        -> http1::header_list;
    [[nodiscard]] auto answer_head(const std::string& request) const
        -> http1::header_list;
    auto check_inputs(const http1::request_message& request,
                      const std::string& id) -> int;
    auto after(core::milliseconds delay, std::function<void()> action) -> void;

    event::loop& event_loop;
    std::string own_id;
    std::string own_service;
    std::string own_zone;
    upstream_journal& journal;
    std::string advertised;
    std::vector<std::shared_ptr<raw_exchange>> held;
    std::set<std::shared_ptr<event::timer>> timers;
    bool is_still = false;
    /// What it would have done since it stands still.
    std::vector<std::function<void()>> postponed;
    upstream_mode mode = upstream_mode::works;
    core::milliseconds silence_length = silence;
    std::string own_version = "v1";
    int failing_every = 0;
    int served = 0;
    int failure_status = 0;
    int slowness = 1;
    std::optional<answer_framing> framing;
    bool is_leaving = false;
    std::string hold_off;
    std::string request_limit;
    std::string load;
    std::string fatal_part;
    std::string fatal_body;
    event::timer return_timer;
    /// Last member, so that it is destroyed first: its requests use the others.
    raw_server server;
};

} // namespace almondtiller::gateway_world
