#pragma once

#include "dispatch/shard.h"
#include "services/gateway/event_log.h"
#include "services/gateway/node_metrics.h"
#include "upstream_speed/service_speeds.h"

namespace almondtiller::gateway {

/// \return The statement that work takes \a percent of its usual time at \a
/// now.
[[nodiscard]] auto to_statement(double percent, core::time_point now)
    -> upstream_speed::statement;

/// Writes a line for each upstream about whose speed the belief has changed,
/// with what it is based on.
auto log_speed_changes(event_log& log, const dispatch::shard& shard,
                       upstream_speed::service_speeds& speeds) -> void;

/// Adds the speeds of a shard to those of other shards of its service: the
/// slowest upstream of all, and the largest of the medians.
auto add_speeds(service_load& load,
                const upstream_speed::service_speeds& speeds,
                core::time_point now) -> void;

} // namespace almondtiller::gateway
