#include "services/gateway/ready_nodes.h"

namespace almondtiller::gateway {

namespace {

auto is_current(const adapter::node_entry& entry, const heard_status& heard)
    -> bool
{
    const auto& speaker = heard.status.incarnation;
    // Earlier versions of the program do not send their incarnation. A status
    // of another incarnation than the entry's is newer than the entry if the
    // entry was registered before the status was received: a process registers
    // before its successor starts.
    return speaker.empty() || speaker == entry.incarnation ||
           heard.entry_incarnation == entry.incarnation;
}

} // namespace

auto as_ready(const peer_view& peer, const heard_status* heard)
    -> std::optional<ready_node>
{
    if (!peer.is_alive) {
        return std::nullopt;
    }
    const auto& entry = peer.entry;
    if (heard != nullptr && is_current(entry, *heard)) {
        const auto& status = heard->status;
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
