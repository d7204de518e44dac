#pragma once

#include "core/result.h"
#include "fleet/gossip_message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// What a datagram between nodes is.
enum class gossip_kind : std::uint8_t
{
    ping,
    ack,
    /// Asks the receiver to ping a third node.
    relay,
    relay_ack,
    /// Is passed on at once, and not answered.
    news,
};

/// A datagram between nodes.
struct gossip_datagram
{
    gossip_kind kind = gossip_kind::ping;
    /// An answer carries the number of its question.
    std::uint64_t number = 0;
    core::node_id sender;
    /// What the sender says of itself.
    std::string status;
    /// Of pings and their answers.
    fleet::gossip_message message;
    /// Of relays: whom to ping.
    fleet::ping_request target;

    auto operator==(const gossip_datagram&) const -> bool = default;
};

/// Fails with fleet_errc::malformed_message.
[[nodiscard]] auto decode_datagram(std::string_view bytes)
    -> core::result<gossip_datagram>;
[[nodiscard]] auto encode(const gossip_datagram& datagram) -> std::string;

} // namespace almondtiller::gateway
