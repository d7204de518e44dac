#pragma once

#include "core/ids.h"

#include <string>

namespace almondtiller::routing {

/// Why an upstream is considered cold.
enum class cold_reason
{
    not_seen_before,
    new_incarnation,
    silence,
    reported,
    slow_responses,
    unreachable, ///< It accepted no connection and may be restarting.
};

/// Notification that an upstream turned from warm to cold. It must reach the
/// other nodes immediately, because the cold capacity of an upstream limits
/// the sum of the attempts in flight from all nodes.
struct cold_notification
{
    core::upstream_id id;
    std::string incarnation; ///< Empty while unknown.
    cold_reason reason = cold_reason::reported;

    auto operator==(const cold_notification&) const -> bool = default;
};

} // namespace almondtiller::routing
