#pragma once

#include "fleet/gossip_message.h"

#include <functional>
#include <vector>

namespace almondtiller::fleet {

/// Access to the gossip of the failure detector: the configuration status that
/// pings and their answers carry, and the contacts for joining. Implemented by
/// the service "peers". Handlers run on the I/O thread and must not block.
class gossip_channel
{
public:
    using config_status_source = std::function<config_status()>;
    using config_status_handler = std::function<void(
        const core::node_id& sender, const config_status& status)>;

    gossip_channel() = default;
    virtual ~gossip_channel() = default;
    gossip_channel(const gossip_channel&) = delete;
    auto operator=(const gossip_channel&) -> gossip_channel& = delete;

    /// Sets the nodes that the platform lists.
    virtual auto set_contacts(const std::vector<member>& contacts) -> void = 0;

    /// Sets the source of the configuration status that each ping and answer
    /// carries.
    virtual auto set_config_status_source(config_status_source source)
        -> void = 0;

    /// Calls \a handler with the configuration status in each ping and answer
    /// of a peer.
    virtual auto on_config_status(config_status_handler handler) -> void = 0;
};

} // namespace almondtiller::fleet
