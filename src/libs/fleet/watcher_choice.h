#pragma once

#include "fleet/member.h"

#include <vector>

namespace almondtiller::fleet {

/// Number of nodes of each zone that poll the platform on behalf of the zone.
constexpr auto watchers_per_zone = std::size_t(2);

/// Chooses the watchers of a zone by rendezvous hashing (Thaler, Ravishankar
/// 1998) over its alive members, so that nodes with the same list choose the
/// same watchers and a change of the list replaces few of them.
/// \return Up to \a count members, in order of preference.
[[nodiscard]] auto choose_watchers(const std::vector<member>& members,
                                   const core::zone_name& zone,
                                   std::size_t count = watchers_per_zone)
    -> std::vector<member>;

} // namespace almondtiller::fleet
