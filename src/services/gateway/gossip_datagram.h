#pragma once

#include "core/result.h"
#include "fleet/gossip_message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondtiller::gateway {

/// Kind of a datagram between nodes.
enum class gossip_kind : std::uint8_t
{
    ping,
    ack,
    /// Requests that the receiver pings a third node.
    relay,
    relay_ack,
    /// Carries membership updates that are passed on at once; not answered.
    update,
};

/// A datagram between nodes.
struct gossip_datagram
{
    gossip_kind kind = gossip_kind::ping;
    /// An answer has the number of the datagram that it answers.
    std::uint64_t number = 0;
    core::node_id sender;
    /// Status of the sender; may be empty.
    std::string status;
    /// Membership updates; not used in relay datagrams.
    fleet::gossip_message message;
    /// Node to ping; used only in relay datagrams.
    fleet::ping_request target;

    auto operator==(const gossip_datagram&) const -> bool = default;
};

/// Fails with fleet_errc::malformed_message.
[[nodiscard]] auto decode_datagram(std::string_view bytes)
    -> core::result<gossip_datagram>;
[[nodiscard]] auto encode(const gossip_datagram& datagram) -> std::string;

} // namespace almondtiller::gateway
