#pragma once

#include "core/random.h"
#include "fleet/member.h"
#include "settings/snapshot.h"

#include <vector>

namespace almondtiller::fleet {

/// The largest number of nodes that one answer names.
constexpr auto max_endpoints = std::size_t(8);

/// Chooses the nodes that a caller should use, best first: alive, not in a
/// zone that is out, those of the caller's zone in random order before the
/// others, so that callers spread evenly. When every zone is out or none is
/// declared, zones are not considered: an address that refuses with a reason
/// serves the caller better than none.
[[nodiscard]] auto choose_endpoints(const std::vector<member>& members,
                                    const settings::snapshot& config,
                                    const core::zone_name& caller_zone,
                                    core::random_source& random)
    -> std::vector<member>;

} // namespace almondtiller::fleet
