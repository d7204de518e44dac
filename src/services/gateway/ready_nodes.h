#pragma once

#include "services/gateway/peer_mesh.h"
#include "services/gateway/peer_messages.h"

#include <optional>

namespace almondtiller::gateway {

/// A node that takes requests.
struct ready_node
{
    core::node_id node;
    core::zone_name zone;
    core::endpoint front;
    node_capacity capacity;

    auto operator==(const ready_node&) const -> bool = default;
};

/// The last status that was received from a peer.
struct reported_status
{
    /// The encoded status as received.
    std::string text;
    node_status status;
    /// Incarnation in the peer's entry when the status was received.
    std::string entry_incarnation;
};

/// Decides whether a peer takes requests. Load pattern: nodes are stopped and
/// started one after the other, also while the store is unavailable. In a large
/// fleet a node receives the status of a given peer only every few minutes; a
/// status from before the peer's restart, which says that the peer leaves, must
/// not exclude the peer until the next status. While the store is unavailable
/// the entry is that of the previous process, and must not make a node ready
/// that has no list of upstreams yet.
/// \param received Last status of the peer, nullptr if none was received.
/// \return The node, empty if it does not take requests.
[[nodiscard]] auto as_ready(const peer_view& peer,
                            const reported_status* received)
    -> std::optional<ready_node>;

} // namespace almondtiller::gateway
