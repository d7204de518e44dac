#pragma once

#include "core/random.h"
#include "fleet/member.h"
#include "settings/snapshot.h"

#include <vector>

namespace almondtiller::fleet {

/// Maximum number of nodes in one answer.
constexpr auto max_endpoints = std::size_t(8);

/// Chooses the nodes that a caller should use, in order of preference. Only
/// alive nodes in zones that are not out qualify. Nodes of the caller's zone
/// precede the others; within both groups the order is random, so that callers
/// are spread evenly. When no alive node is in a zone that is in (every zone
/// is out or none is declared), the states of zones are ignored, because a node
/// that rejects requests with a reason is more useful to the caller than an
/// empty answer.
[[nodiscard]] auto choose_endpoints(const std::vector<member>& members,
                                    const settings::snapshot& config,
                                    const core::zone_name& caller_zone,
                                    core::random_source& random)
    -> std::vector<member>;

} // namespace almondtiller::fleet
