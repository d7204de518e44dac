#pragma once

#include "fleet/peer_bus.h"

namespace almondtiller::fleet {

/// Calls a peer and blocks until the answer arrives or the call fails. Must not
/// be called on an I/O thread.
[[nodiscard]] auto call_and_wait(peer_bus& bus, const core::node_id& target,
                                 const std::string& topic,
                                 const std::string& body,
                                 core::milliseconds timeout)
    -> core::result<std::string>;

} // namespace almondtiller::fleet
