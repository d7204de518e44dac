#pragma once

#include "core/ids.h"

#include <string>

namespace almondtiller::routing {

/// What made an upstream count as cold.
enum class cold_reason
{
    not_seen_before,
    new_incarnation,
    silence,
    reported,
    slow_answers,
    unreachable, ///< A connection was not accepted; it may be restarting.
};

/// An upstream turned from warm to cold. Other nodes that send to it have to
/// know at once, because what it bears is a sum over all of them.
struct cold_sign
{
    core::upstream_id id;
    std::string incarnation; ///< Empty while unknown.
    cold_reason why = cold_reason::reported;

    auto operator==(const cold_sign&) const -> bool = default;
};

} // namespace almondtiller::routing
