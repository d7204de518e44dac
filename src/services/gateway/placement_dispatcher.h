#pragma once

#include "dispatch/placement.h"
#include "event/loop.h"
#include "services/gateway/event_log.h"
#include "services/gateway/flow_metrics.h"
#include "services/gateway/node_metrics.h"
#include "services/gateway/peer_messages.h"
#include "services/rollout/rollout_service.h"

#include <functional>
#include <map>
#include <memory>

namespace almondtiller::gateway {

/// Places the requests of all nodes on the upstreams of the shards that this
/// node owns.
class placement_dispatcher
{
public:
    using place_done = std::function<void(dispatch::placement_outcome)>;

    /// \param schedule_pump Schedules a call of pump().
    placement_dispatcher(event::loop& event_loop,
                         const dispatch::serving_state& serving_state,
                         event_log& log, flow_metrics& metrics,
                         dispatch::placement_limits limits,
                         dispatch::upstream_source usable,
                         std::function<void()> schedule_pump);

    /// Sets the rollouts that placement follows.
    auto set_rollouts(rollout::rollout_service* rollouts) -> void;

    /// Applies changes of the configuration and the upstreams.
    auto refresh() -> void;

    /// Places or rejects the requests that can be decided now.
    /// \return Whether requests are waiting.
    auto pump() -> bool;

    /// \param origin The node that sends the request to the upstream.
    /// \param ticket Unique number of the placement.
    auto submit(place_message message, std::uint64_t ticket,
                const core::node_id& origin, place_done done) -> void;
    auto cancel(const serving::service_name& service,
                const core::request_id& request) -> void;
    auto report(const report_message& message) -> void;

    /// Takes the speeds of upstreams into account from now on.
    auto enable_speeds() -> void;
    /// Records what an upstream of the service states about its speed.
    auto record_speed(const serving::service_name& service,
                      const speed_report& speed) -> void;

    /// Ends the requests of a node that has failed or left.
    auto cancel_work_of(const core::node_id& origin) -> void;

    /// Adds the waiting and running requests of each service to its entry in
    /// \a loads.
    auto add_loads(std::map<serving::service_name, service_load>& loads) const
        -> void;

private:
    struct entry
    {
        std::uint64_t ticket = 0;
        core::node_id origin;
        core::time_point submitted;
        core::time_point deadline;
        core::workspace_name workspace;
        int priority = 0;
        place_done done;
    };
    struct placement_shard
    {
        dispatch::placement scheduler;
        std::map<core::request_id, entry> entries;
        std::map<std::uint64_t, core::request_id> requests;
    };

    using shard_map =
        std::map<dispatch::shard, std::shared_ptr<placement_shard>>;

    auto find(const dispatch::shard& shard_key) -> placement_shard*;
    /// \return The shard that contains the request, the end if none does.
    auto find(const serving::service_name& service,
              const core::request_id& request) -> shard_map::iterator;
    auto pump(const dispatch::shard& shard_key, placement_shard& shard_state)
        -> void;
    auto log_rejection(const dispatch::shard& shard_key,
                       const placement_shard& shard_state,
                       const core::request_id& request, const entry& rejected,
                       const dispatch::placement_outcome& outcome) -> void;
    auto end(placement_shard& shard_state, const core::request_id& request,
             dispatch::attempt_end how) -> void;

    event::loop& event_loop;
    const dispatch::serving_state& serving_state;
    event_log& log;
    flow_metrics& metrics;
    dispatch::placement_limits limits;
    dispatch::upstream_source usable_upstreams;
    std::function<void()> schedule_pump;
    bool uses_speeds = false;
    shard_map owned_shards;
    /// nullptr if there are no rollouts.
    rollout::rollout_service* rollouts = nullptr;
};

} // namespace almondtiller::gateway
