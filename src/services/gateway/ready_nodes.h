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

/// What a peer has last said of itself.
struct heard_status
{
    /// As it came.
    std::string text;
    node_status status;
    /// Incarnation in the peer's entry when it was heard last.
    std::string entry_incarnation;
};

/// Decides whether a peer takes requests. Load pattern: nodes that are stopped
/// and started in turn, also while the store is away. In a large fleet a node
/// hears from a given other one only every few minutes, and what that said
/// before its restart, that it leaves, must not keep it out until then. While
/// the store is away the entry is that of the process before, and must not
/// bring in a node that knows nothing yet.
/// \param heard nullptr if the peer has said nothing.
[[nodiscard]] auto as_ready(const peer_view& peer, const heard_status* heard)
    -> std::optional<ready_node>;

} // namespace almondtiller::gateway
