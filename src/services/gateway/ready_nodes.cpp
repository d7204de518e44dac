#include "services/gateway/ready_nodes.h"

namespace almondtiller::gateway {

namespace {

auto is_current(const adapter::node_entry& entry,
                const reported_status& received) -> bool
{
    const auto& sender_incarnation = received.status.incarnation;
    // Earlier versions of the program do not send their incarnation. A status
    // of another incarnation than the entry's is newer than the entry if the
    // entry was registered before the status was received: a process registers
    // before its successor starts.
    return sender_incarnation.empty() ||
           sender_incarnation == entry.incarnation ||
           received.entry_incarnation == entry.incarnation;
}

} // namespace

auto as_ready(const peer_view& peer, const reported_status* received)
    -> std::optional<ready_node>
{
    if (!peer.is_alive) {
        return std::nullopt;
    }
    const auto& entry = peer.entry;
    if (received != nullptr && is_current(entry, *received)) {
        const auto& status = received->status;
        return status.is_ready
                   ? std::optional(ready_node{entry.node, status.zone,
                                              status.front, status.capacity})
                   : std::nullopt;
    }
    // Nodes register once they are ready. Earlier versions register without an
    // address.
    return entry.front.port != 0
               ? std::optional(ready_node{entry.node,
                                          entry.zone,
                                          entry.front,
                                          {entry.cores, entry.link_mbps}})
               : std::nullopt;
}

} // namespace almondtiller::gateway
