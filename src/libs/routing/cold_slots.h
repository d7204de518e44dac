#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace almondtiller::routing {

/// Slots of a cold upstream that this node may use until they expire.
struct cold_grant
{
    core::upstream_id id;
    /// Only valid for this incarnation, unless either is unknown.
    std::string incarnation;
    std::uint32_t slots = 0;
    core::time_point expires;

    auto operator==(const cold_grant&) const -> bool = default;
};

/// A cold upstream as this node's scheduler sees it.
struct cold_upstream
{
    core::upstream_id id;
    std::string incarnation; ///< Empty while unknown.
    /// Slots that would be used; 0 when there is no work for it.
    std::uint32_t wanted = 0;
    /// Attempts of this node in flight at it, whenever they were sent.
    std::uint32_t in_flight = 0;

    auto operator==(const cold_upstream&) const -> bool = default;
};

/// A cold dispatch ends at most so long after it began: the shell cancels
/// the attempt at dispatch::finish_by.
constexpr auto longest_cold_dispatch = core::duration(std::chrono::seconds(3));

} // namespace almondtiller::routing
