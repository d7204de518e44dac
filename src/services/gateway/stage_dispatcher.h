#pragma once

#include "dispatch/serving_state.h"
#include "dispatch/stage_queue.h"
#include "event/timer.h"
#include "http1/client_pool.h"
#include "services/gateway/event_log.h"
#include "services/gateway/flow_metrics.h"
#include "services/gateway/node_metrics.h"
#include "services/rollout/rollout_service.h"

#include <functional>
#include <map>
#include <memory>

namespace almondtiller::gateway {

/// Called with what the head of an answer reports about the upstream and with
/// the time at which the request was sent.
using verdict_hook =
    std::function<void(const core::upstream_id&,
                       const serving::upstream_verdict&, core::time_point)>;

/// Dispatches the stage work of the shards that this node owns: keeps one queue
/// per shard, sends calls to upstreams and frees results.
class stage_dispatcher
{
public:
    using stage_done = std::function<void(dispatch::stage_outcome)>;

    /// \param schedule_pump Schedules a call of pump().
    stage_dispatcher(event::loop& event_loop,
                     const dispatch::serving_state& serving_state,
                     http1::client_pool& calls, event_log& log,
                     flow_metrics& metrics, dispatch::stage_queue_limits limits,
                     dispatch::upstream_source usable,
                     std::function<void()> schedule_pump,
                     verdict_hook report_verdict);

    /// Sets the rollouts that calls follow.
    auto set_rollouts(rollout::rollout_service* rollouts) -> void;

    /// \return The results that are kept at the upstreams for which \a rule
    ///         holds.
    [[nodiscard]] auto held_results(const serving::service_name& service,
                                    const dispatch::upstream_rule& rule) const
        -> std::size_t;

    /// Applies changes of the configuration and the upstreams.
    auto refresh() -> void;

    /// Sends calls that are ready and rejects work that can't complete in time.
    /// \return Whether work is waiting or running.
    auto pump() -> bool;

    /// \param ticket Unique number of the work, for cancel().
    /// \return Whether the work was queued; otherwise \a done was called.
    auto submit(const serving::service_name& service, std::uint64_t ticket,
                dispatch::stage_work work, stage_done done) -> bool;
    auto cancel(const serving::service_name& service, std::uint64_t ticket)
        -> void;
    auto free_results(const serving::service_name& service,
                      const std::vector<std::string>& handles) -> void;

    /// Sets the check whether this node owns a shard; without it, the node owns
    /// all shards.
    auto set_owner_check(std::function<bool(const dispatch::shard&)> check)
        -> void;

    /// Takes results of other owners into account from now on.
    auto enable_room_reports() -> void;

    /// Takes the speeds of upstreams into account from now on.
    auto enable_speeds() -> void;

    /// Adds the waiting work of each service to its entry in \a loads.
    auto add_loads(std::map<serving::service_name, service_load>& loads) const
        -> void;

private:
    struct pending_work
    {
        core::request_id request;
        core::time_point submitted;
        core::time_point deadline;
        core::workspace_name workspace;
        int priority = 0;
        stage_done done;
    };
    struct stage_shard
    {
        dispatch::stage_queue queue;
        std::map<std::uint64_t, pending_work> waiting;
        std::map<std::uint64_t, std::shared_ptr<http1::pooled_call>> calls;
        /// Records of the open calls, for rollouts.
        std::map<std::uint64_t, std::shared_ptr<rollout::attempt_record>>
            records;
    };

    auto find(const dispatch::shard& shard_key) -> stage_shard*;
    auto send_call(const dispatch::shard& shard_key,
                   const dispatch::stage_call& call) -> void;
    /// The answer to a call of this class.
    struct call_answer
    {
        serving::upstream_verdict verdict;
        http1::answer_identity identity;
        std::string body;
        /// Empty unless the answer has one for each piece of the call.
        std::optional<std::vector<serving::stage_result>> results;
    };

    /// \return Hooks that keep an answer and report at once what its head
    ///         states, as far as a copy may state it as well.
    auto keep_answer(const core::upstream_id& upstream,
                     const std::shared_ptr<call_answer>& answer)
        -> http1::pool_hooks;
    /// Reports what a head states, and what it leaves out, unless the answer
    /// has turned out to be a copy.
    auto confirm_verdict(const core::upstream_id& upstream,
                         const call_answer& answer, core::time_point sent_at,
                         std::error_code error) -> void;
    /// Reads the results of a complete answer to a call of \a pieces pieces.
    /// \return The identity of the answer; an upstream gives each handle once.
    static auto read_results(std::size_t pieces, call_answer& answer)
        -> http1::answer_identity;
    static auto identify_free_answer(const call_answer& answer)
        -> http1::answer_identity;
    /// A report that has not changed counts as a copy of the earlier one, as
    /// nothing in it is new in each report.
    static auto identify_report(const call_answer& answer)
        -> http1::answer_identity;
    auto on_call_done(const dispatch::shard& shard_key,
                      const dispatch::stage_call& call,
                      const call_answer& answer, std::error_code error) -> void;
    auto open_record(stage_shard& shard_state, const dispatch::stage_call& call)
        -> void;
    auto close_record(stage_shard& shard_state,
                      const dispatch::stage_call& call,
                      const call_answer& answer, std::error_code error) -> void;
    auto handle_verdict(const core::upstream_id& upstream,
                        const serving::upstream_verdict& verdict,
                        core::time_point sent_at) -> void;
    /// Requests the reports of upstreams whose room is uncertain.
    auto request_room(const dispatch::shard& shard_key,
                      stage_shard& shard_state) -> void;
    auto on_room_report(const dispatch::shard& shard_key,
                        const core::upstream_id& upstream,
                        const call_answer& report) -> void;
    auto record_speed(const core::upstream_id& upstream, double percent)
        -> void;
    auto apply(const dispatch::shard& shard_key, stage_shard& shard_state,
               const dispatch::stage_effects& effects) -> void;
    auto log_outcome(const dispatch::shard& shard_key,
                     const stage_shard& shard_state, const pending_work& work,
                     const dispatch::stage_outcome& outcome) -> void;

    event::loop& event_loop;
    const dispatch::serving_state& serving_state;
    http1::client_pool& pool;
    event_log& log;
    flow_metrics& metrics;
    dispatch::stage_queue_limits limits;
    dispatch::upstream_source usable_upstreams;
    std::function<void()> schedule_pump;
    verdict_hook report_verdict;
    bool uses_speeds = false;
    bool uses_room_reports = false;
    std::function<bool(const dispatch::shard&)> owner_check;
    std::map<dispatch::shard, std::shared_ptr<stage_shard>> owned_shards;
    /// nullptr if there are no rollouts.
    rollout::rollout_service* rollouts = nullptr;
};

} // namespace almondtiller::gateway
