#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

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

/// Chooses the nodes that a caller is told. All ready nodes of all zones are
/// named, those of the caller's own zone first, so that the load spreads
/// evenly and one zone's loss leaves the others.
[[nodiscard]] auto choose_fronts(std::vector<front_node> ready,
                                 const core::zone_name& caller_zone)
    -> std::vector<core::endpoint>;

} // namespace almondtiller::gateway
