#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/random.h"

#include <vector>

namespace almondtiller::gateway {

/// A node that callers may use.
struct front_node
{
    core::zone_name zone;
    core::endpoint front;

    auto operator==(const front_node&) const -> bool = default;
};

/// Largest number of addresses that callers accept in an answer of the
/// directory.
constexpr auto max_addresses = std::size_t(64);

/// Chooses the addresses that are returned to a caller: those of all ready
/// nodes of all zones, the caller's own zone first. If the fleet is too large
/// for one answer, each answer contains a new random sample, so that the load
/// spreads evenly, with enough nodes of other zones that some remain after the
/// loss of one zone.
[[nodiscard]] auto choose_fronts(std::vector<front_node> ready,
                                 const core::zone_name& caller_zone,
                                 core::random_source& random)
    -> std::vector<core::endpoint>;

} // namespace almondtiller::gateway
