#pragma once

#include "core/result.h"
#include "fleet/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// The state of the sender's configuration; part of each message.
struct config_status
{
    std::uint64_t config_revision = 0;
    /// Milliseconds since the platform confirmed the configuration, to this
    /// node or to a peer that reported it; negative when it never did.
    std::int64_t config_age_ms = -1;

    auto operator==(const config_status&) const -> bool = default;
};

/// A ping or its ack.
struct gossip_message
{
    std::uint64_t table_hash = 0;  ///< Hash of the sender's member table.
    bool wants_full_table = false; ///< The sender has no peers yet.
    config_status sender_config_status;
    std::vector<member> updates;

    auto operator==(const gossip_message&) const -> bool = default;
};

/// Requests an indirect ping: the receiver pings the target.
struct ping_request
{
    core::node_id target;
    std::string peer_address;

    auto operator==(const ping_request&) const -> bool = default;
};

/// CBOR encodings. The decoders return fleet_errc::malformed_message when the
/// bytes are not such a message.
[[nodiscard]] auto encode_gossip(const gossip_message& message) -> std::string;
[[nodiscard]] auto decode_gossip(const std::string& bytes)
    -> core::result<gossip_message>;
[[nodiscard]] auto encode_ping_request(const ping_request& request)
    -> std::string;
[[nodiscard]] auto decode_ping_request(const std::string& bytes)
    -> core::result<ping_request>;

} // namespace almondtiller::fleet
