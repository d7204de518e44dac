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

/// Decides whether a peer takes requests. Load pattern: nodes that are stopped
/// and started in turn. In a large fleet a node hears from a given other one
/// only every few minutes, and what that said before its restart, that it
/// leaves, must not keep it out until then.
/// \param status What the peer has last said of itself, nullptr if nothing.
[[nodiscard]] auto as_ready(const peer_view& peer, const node_status* status)
    -> std::optional<ready_node>;

} // namespace almondtiller::gateway
