#pragma once

#include "core/ids.h"
#include "services/gateway/peer_messages.h"

#include <vector>

namespace almondtiller::gateway {

/// Largest number of nodes of a small fleet, in which each node keeps a
/// connection to each other node and watches the platform's store itself. The
/// load of these connections and watches grows with the square of the number of
/// nodes.
inline constexpr auto max_small_fleet = std::size_t(16);

/// A live node that may own services.
struct owner_candidate
{
    core::node_id node;
    core::zone_name zone;
    node_capacity capacity;

    auto operator==(const owner_candidate&) const -> bool = default;
};

/// Chooses the nodes that own services: those whose machine has at least half
/// of the largest number of cores and half of the largest bandwidth. Load
/// pattern: an owner's link carries the stage calls of all nodes, megabytes a
/// second in a large fleet, and on a small machine becomes the bottleneck of
/// the whole system.
[[nodiscard]] auto choose_owners(const std::vector<owner_candidate>& live)
    -> std::vector<owner_candidate>;

/// Chooses the nodes that watch the platform's store on behalf of the others.
/// Load pattern: in a large fleet each change of an upstream ends the watch of
/// every node, and each new watch is a call that loads the store.
/// \return Some owners, taken from the zones in turn, the same on all nodes;
///         empty in a small fleet, where each node watches the store itself.
[[nodiscard]] auto choose_watchers(const std::vector<owner_candidate>& owners,
                                   std::size_t live_count)
    -> std::vector<core::node_id>;

/// Chooses the watchers from which a node receives changes: two, those of its
/// own zone first. A watcher receives changes from all others.
[[nodiscard]] auto choose_sources(const std::vector<core::node_id>& watchers,
                                  const core::node_id& self,
                                  const std::vector<owner_candidate>& owners,
                                  const core::zone_name& zone)
    -> std::vector<core::node_id>;

} // namespace almondtiller::gateway
