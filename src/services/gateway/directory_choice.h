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

/// Most addresses that callers take from an answer of the directory.
constexpr auto most_addresses = std::size_t(64);

/// Chooses the nodes that a caller is told: all ready nodes of all zones, those
/// of the caller's own zone first. Of a fleet that is too large for an answer
/// each answer names a sample of its own, so that the load spreads evenly, and
/// enough nodes of other zones that one zone's loss leaves some.
[[nodiscard]] auto choose_fronts(std::vector<front_node> ready,
                                 const core::zone_name& caller_zone,
                                 core::random_source& random)
    -> std::vector<core::endpoint>;

} // namespace almondtiller::gateway
