#pragma once

#include "services/gateway/placement_dispatcher.h"
#include "services/gateway/stage_dispatcher.h"

namespace almondtiller::gateway {

/// Executes the decisions of the dispatch library for the shards that this node
/// owns: stage work and the placement of requests, both from all nodes.
class dispatcher
{
public:
    using stage_done = stage_dispatcher::stage_done;
    using place_done = placement_dispatcher::place_done;

    dispatcher(event::loop& event_loop,
               const dispatch::serving_state& serving_state,
               http1::client_pool& calls, event_log& log, flow_metrics& metrics,
               dispatch::placement_limits limits, verdict_hook on_verdict);

    /// Applies changes of the configuration and the upstreams.
    auto refresh() -> void;

    /// \return A ticket for cancel_stage(), 0 if the work was not queued.
    auto submit_stage(const serving::service_name& service,
                      dispatch::stage_work work, stage_done done)
        -> std::uint64_t;
    auto cancel_stage(const serving::service_name& service,
                      std::uint64_t ticket) -> void;
    auto free_results(const serving::service_name& service,
                      const std::vector<std::string>& handles) -> void;

    /// \param origin The node that sends the request to the upstream.
    auto submit_placement(place_message message, const core::node_id& origin,
                          place_done done) -> void;
    auto cancel_placement(const serving::service_name& service,
                          const core::request_id& request) -> void;
    auto report(const report_message& message) -> void;

    /// Takes the speeds of upstreams into account from now on, because one has
    /// stated its speed.
    auto enable_speeds() -> void;
    /// Takes into account from now on what stage upstreams hold for others than
    /// this node.
    auto enable_room_reports() -> void;
    [[nodiscard]] auto uses_speeds() const -> bool;

    /// Sets the hook that is called when another node reports that an upstream
    /// is about to terminate.
    auto set_leaving_hook(std::function<void(const core::upstream_id&)> hook)
        -> void;

    /// Sets the hook that is called when another node reports what an upstream
    /// states about its request limit.
    auto set_limit_hook(std::function<void(const limit_report&)> hook) -> void;

    /// Sets the check whether this node owns a shard; without it, the node owns
    /// all shards.
    auto set_owner_check(std::function<bool(const dispatch::shard&)> check)
        -> void;

    /// Sets the rollouts that placement and stage calls follow.
    auto set_rollouts(rollout::rollout_service* rollouts) -> void;

    /// \return The results of stages that are kept at the upstreams for which
    ///         \a rule holds.
    [[nodiscard]] auto held_results(const serving::service_name& service,
                                    const dispatch::upstream_rule& rule) const
        -> std::size_t;

    /// Ends the requests of a node that has failed or left.
    auto cancel_work_of(const core::node_id& origin) -> void;

    /// \return The waiting and running work of each service for which this
    ///         node has received work.
    [[nodiscard]] auto loads() const -> std::vector<service_load>;

private:
    /// \return The upstreams to which this node may send work of a shard.
    [[nodiscard]] auto usable(const dispatch::shard& part) const
        -> std::vector<dispatch::known_upstream>;
    auto schedule_pump() -> void;
    auto pump() -> void;

    event::loop& event_loop;
    const dispatch::serving_state& serving_state;
    std::function<void(const core::upstream_id&)> leaving_hook;
    std::function<void(const limit_report&)> limit_hook;
    std::function<bool(const dispatch::shard&)> owner_check;
    stage_dispatcher stages;
    placement_dispatcher placements;
    std::uint64_t last_ticket = 0;
    bool is_scheduled = false;
    bool has_speeds = false;
    event::timer pump_timer;
};

} // namespace almondtiller::gateway
