#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace almondtiller::fleet {

enum class member_state
{
    alive,
    suspect,
    leaving,
    dead,
};

/// The record of one node in the member table.
struct member
{
    core::node_id id;
    /// Increases with each start of the node and each suspicion that the node
    /// refutes.
    std::uint64_t incarnation = 0;
    core::zone_name zone;
    core::region_name region;
    std::string address;      ///< IP and port for callers.
    std::string peer_address; ///< IP and port for peers.
    member_state state = member_state::alive;

    auto operator==(const member&) const -> bool = default;
    auto operator<=>(const member&) const = default;
};

} // namespace almondtiller::fleet
