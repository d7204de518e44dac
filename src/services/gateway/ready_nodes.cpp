#include "services/gateway/ready_nodes.h"

namespace almondtiller::gateway {

namespace {

/// Earlier versions of the program don't say in which incarnation they speak.
auto is_current(const adapter::node_entry& entry, const node_status& status)
    -> bool
{
    return status.incarnation.empty() ||
           status.incarnation == entry.incarnation;
}

} // namespace

auto as_ready(const peer_view& peer, const node_status* status)
    -> std::optional<ready_node>
{
    if (!peer.is_alive) {
        return std::nullopt;
    }
    const auto& entry = peer.entry;
    if (status != nullptr && is_current(entry, *status)) {
        return status->is_ready
                   ? std::optional(ready_node{entry.node, status->zone,
                                              status->front, status->capacity})
                   : std::nullopt;
    }
    // Nodes register once they are ready; earlier versions without an address.
    return entry.front.port != 0
               ? std::optional(ready_node{entry.node,
                                          entry.zone,
                                          entry.front,
                                          {entry.cores, entry.link_mbps}})
               : std::nullopt;
}

} // namespace almondtiller::gateway
