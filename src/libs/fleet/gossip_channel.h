#pragma once

#include "fleet/gossip_message.h"

#include <functional>
#include <vector>

namespace almondtiller::fleet {

/// Access to the gossip of the failure detector: the facts that pings and
/// their answers carry, and the contacts for joining. Implemented by the
/// service "peers". Handlers run on the I/O thread and must not block.
class gossip_channel
{
public:
    using facts_source = std::function<gossip_facts()>;
    using facts_handler = std::function<void(const core::node_id& sender,
                                             const gossip_facts& facts)>;

    gossip_channel() = default;
    virtual ~gossip_channel() = default;
    gossip_channel(const gossip_channel&) = delete;
    auto operator=(const gossip_channel&) -> gossip_channel& = delete;

    /// Sets the nodes that the platform lists.
    virtual auto set_contacts(const std::vector<member>& contacts) -> void = 0;

    /// Sets the source of the facts that each ping and answer carries.
    virtual auto set_facts_source(facts_source source) -> void = 0;

    /// Calls \a handler with the facts of each ping and answer of a peer.
    virtual auto on_facts(facts_handler handler) -> void = 0;
};

} // namespace almondtiller::fleet
