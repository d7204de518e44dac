#pragma once

#include "core/metrics.h"
#include "core/random.h"
#include "event/timer.h"
#include "http1/server_connection.h"
#include "platform/upstream_messages.h"
#include "services/gateway/crash_monitor.h"
#include "services/gateway/dispatch_client.h"
#include "services/gateway/event_stream.h"
#include "services/gateway/flow_limits.h"
#include "services/gateway/flow_metrics.h"
#include "services/gateway/stage_plan.h"
#include "services/rollout/rollout_service.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace almondtiller::gateway {

/// \return Whether an answer is none that the caller should get while another
///         upstream may still serve the request.
inline auto is_failure(const serving::upstream_verdict& verdict) -> bool
{
    constexpr auto first_server_error = 500;
    return verdict.not_run || verdict.status >= first_server_error;
}

/// Dependencies shared by all requests of a node.
struct flow_context
{
    event::loop& event_loop;
    const dispatch::serving_state& serving_state;
    dispatch_client& dispatch;
    http1::client_pool& pool;
    crash_monitor& crashes;
    event_log& log;
    flow_metrics& metrics;
    core::random_source& random;
    verdict_hook report_verdict;
    /// nullptr if there are no rollouts.
    rollout::rollout_service* rollouts = nullptr;
};

/// Processes one request from its acceptance to the end of its answer: runs its
/// stages, requests an upstream, sends the request there, forwards the answer
/// and retries where the route allows it. Its callbacks keep the object alive
/// until the request ends.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(flow_context& shared, serving::caller_request accepted,
                 std::shared_ptr<http1::exchange> caller,
                 std::shared_ptr<const serving::configuration> in_force,
                 const serving::route& route,
                 const serving::workspace* workspace);

    auto start() -> void;

    /// Ends the request because the node is stopping.
    auto stop() -> void;

    /// \return Handles of the results of a stage that the request still needs.
    [[nodiscard]] auto held_results(const serving::service_name& stage) const
        -> std::vector<std::string>;

private:
    [[nodiscard]] auto elapsed_ms() const -> std::string;
    [[nodiscard]] auto is_retryable() const -> bool;
    [[nodiscard]] auto may_retry() const -> bool;
    [[nodiscard]] auto choose_zone() const -> core::zone_name;
    [[nodiscard]] auto zone_shares() const -> std::map<core::zone_name, double>;
    auto choose_service() -> void;
    /// \return The number of output tokens to expect.
    [[nodiscard]] auto output_tokens() const -> std::uint32_t;
    /// \return Whether no upstream of the service has enough memory for the
    ///         request. Its stages would run in vain.
    [[nodiscard]] auto is_too_large() const -> bool;

    [[nodiscard]] auto zone_of_result(const std::string& handle) const
        -> core::zone_name;
    [[nodiscard]] auto work_of(std::size_t stage) const -> dispatch::stage_work;
    auto run_stages() -> void;
    auto on_stage_outcome(std::size_t stage,
                          const dispatch::stage_outcome& outcome) -> void;
    auto restart_stages() -> void;
    /// Cancels stage work under way and frees the results of the stages, which
    /// run again if another upstream has to be found.
    auto reset_stages() -> void;
    auto release(const std::vector<released_results>& results) -> void;

    /// \return The earliest end of a hold-off if every usable upstream of the
    ///         shard is held off or excluded; empty otherwise, and also if all
    ///         of them are excluded.
    [[nodiscard]] auto earliest_hold_off_end(
        const std::map<core::upstream_id, core::time_point>& hold_offs) const
        -> std::optional<core::time_point>;
    /// Finds an upstream. Stages whose results were freed run again first.
    auto place(bool is_retry) -> void;
    auto on_placed(const dispatch::placement_outcome& outcome) -> void;
    /// Ends the request because it cannot be sent to another upstream, unless
    /// the last one may still answer.
    auto give_up(std::string_view reason, core::milliseconds retry_after)
        -> void;
    auto send(const serving::upstream& upstream) -> void;
    auto on_sent(std::uint64_t number) -> void;
    auto on_head(http1::response_head head) -> void;
    auto on_body(std::string_view bytes) -> void;
    auto on_done(std::error_code error, bool sent) -> void;
    auto forward_events(std::string_view bytes) -> void;
    /// Reports the bytes held for the caller, and ends the request if the node
    /// may not hold them.
    auto end_if_overloaded() -> void;
    auto on_not_run() -> void;
    auto on_answer() -> void;
    auto on_attempt_failed(std::error_code error, bool sent) -> void;
    /// Seeks another upstream and keeps the silent attempt until there is one.
    auto on_progress_timeout() -> void;
    /// Stops seeking another upstream, because the silent one has answered or
    /// because there is no other.
    auto keep_silent_attempt() -> void;
    /// The silent attempt has failed while another upstream is being sought.
    auto drop_silent_attempt() -> void;
    /// Sets the silent attempt aside until its replacement has begun to answer,
    /// or has had the request for max_hold_time.
    auto hold_silent_attempt() -> void;
    /// Cancels the attempt that was set aside because its replacement has had
    /// the request for max_hold_time.
    auto on_hold_time_over() -> void;
    /// Schedules another search for an upstream for a stream whose silent
    /// attempt was cancelled although it might have gone on.
    /// \return False if there is no such stream, or no time for the search.
    auto search_again(std::string_view reason, core::milliseconds delay)
        -> bool;
    auto on_search_timer() -> void;
    /// Cancels the attempt that was set aside, if there is one.
    auto cancel_held_attempt(std::string_view reason) -> void;
    /// Continues the attempt that was set aside, in place of its replacement.
    auto return_to_held_attempt() -> void;
    /// The replacement of the attempt that was set aside has failed.
    auto on_replacement_failed() -> void;
    /// \return Whether \a answer is an error answer of the attempt that was set
    ///         aside, which ends that attempt.
    auto is_failure_of_held(std::uint64_t number,
                            const http1::response_head& answer) -> bool;
    /// \return Whether the attempt \a number is the current one. Returns to the
    ///         attempt that was set aside if it is that one.
    auto is_current(std::uint64_t number) -> bool;
    auto on_held_attempt_failed(std::uint64_t number, std::error_code error)
        -> void;
    auto log_broken_attempt(const core::upstream_id& broken,
                            std::error_code error, bool sent) -> void;
    auto end_attempt(dispatch::attempt_end how) -> void;
    /// \return The mean time between the events of a complete answer; empty if
    ///         it does not show the speed of one upstream.
    [[nodiscard]] auto event_time() const -> std::optional<core::duration>;
    /// \return Whether the request may be sent to the upstream that its owner
    ///         has chosen.
    [[nodiscard]] auto may_send(const core::upstream_id& upstream) const
        -> bool;
    [[nodiscard]] auto version_of(const core::upstream_id& upstream) const
        -> std::string;
    auto open_record(const core::upstream_id& upstream) -> void;
    /// Ends the record of the current attempt, whose answer is complete.
    auto close_record() -> void;

    /// Ends the request before its answer is complete.
    /// \param status HTTP status sent if the request may have run.
    auto end_incomplete(std::string_view reason, int status) -> void;
    auto on_deadline() -> void;
    auto on_caller_disconnected() -> void;
    auto reject(std::string_view reason, core::milliseconds retry_after)
        -> void;
    auto fail(int status, std::string_view reason) -> void;
    auto abort_answer(std::string_view reason) -> void;
    auto finish(std::string_view event, severity level, std::string_view reason,
                int status) -> void;

    /// A silent attempt that was set aside.
    struct held_attempt
    {
        std::uint64_t number = 0;
        serving::upstream upstream;
        core::time_point sent_at;
        std::shared_ptr<http1::pooled_call> call;
        std::shared_ptr<rollout::attempt_record> record;
        std::optional<http1::response_head> head;
        serving::upstream_verdict verdict;
        std::string body;
        std::string incomplete_event;
        bool is_stream = false;
    };

    flow_context& shared;
    serving::caller_request request;
    std::shared_ptr<http1::exchange> caller;
    std::shared_ptr<const serving::configuration> config;
    serving::route route;
    core::workspace_name workspace;
    /// Weight of the workspace.
    double weight = 1;
    int priority = 0;
    serving::service_name service;
    /// Zone in which its stages and its generation run, chosen by the prompt
    /// prefix that it shares with other requests.
    core::zone_name zone;
    core::time_point accepted;
    core::time_point due;
    core::time_point deadline;
    event::timer deadline_timer;
    event::timer progress_timer;
    event::timer hold_timer;
    event::timer search_timer;
    std::optional<stage_plan> stages;
    /// Numbers of the stage work for dispatch_client::cancel().
    std::vector<std::uint64_t> stage_numbers;
    /// Number of the pending placement, 0 if there is none.
    std::uint64_t placement_number = 0;
    int stage_restarts = 0;
    /// Incremented when results are freed; outcomes of earlier runs are unused.
    int stage_run = 0;

    std::optional<serving::upstream> upstream;
    /// Upstream of the last attempt; kept after the attempt ends.
    core::upstream_id last_upstream;
    /// When the request of the last attempt was sent.
    core::time_point sent_at;
    std::shared_ptr<http1::pooled_call> call;
    /// Record of the current attempt for rollouts; may be nullptr.
    std::shared_ptr<rollout::attempt_record> record;
    /// Distinguishes the current attempt from one that was set aside.
    std::uint64_t attempt_number = 0;
    std::uint64_t last_attempt_number = 0;
    /// Whether another upstream is sought while the silent attempt is open.
    bool is_replacing = false;
    std::optional<held_attempt> held;
    /// Whether a silent attempt was cancelled before its replacement answered.
    bool has_cancelled_silent = false;
    /// Smallest delay of the next search, doubled by each.
    core::milliseconds next_search_delay = min_retry_delay;
    std::vector<core::upstream_id> excluded;
    /// Attempts that may have run.
    int attempts = 0;
    /// Attempts that upstreams rejected without running them.
    int rejections = 0;
    /// Retry delay sent to the caller if the request was rejected.
    core::milliseconds sent_retry_after{0};
    std::optional<http1::response_head> head;
    serving::upstream_verdict verdict;
    std::string body;
    event_stream events;
    bool is_stream = false;
    /// When the first event was sent to the caller; empty before that.
    std::optional<core::time_point> first_event;
    core::time_point last_event;
    core::duration longest_pause{0};
    /// Whether the upstream was paused because the caller reads slowly.
    bool was_paused = false;
    bool is_finished = false;
};

} // namespace almondtiller::gateway
