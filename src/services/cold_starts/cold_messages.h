#pragma once

#include "core/result.h"
#include "routing/cold_notification.h"
#include "routing/cold_slots.h"

#include <string>

namespace almondtiller::services {

/// Message of the peer topic "cold-signs": an upstream of a pool turned cold.
struct cold_notification_message
{
    core::pool_name pool;
    routing::cold_notification notification;

    auto operator==(const cold_notification_message&) const -> bool = default;
};

[[nodiscard]] auto encode(const cold_notification_message& message)
    -> std::string;
[[nodiscard]] auto decode_cold_notification(const std::string& body)
    -> core::result<cold_notification_message>;

/// CBOR codecs of the peer topic "cold-slots". Durations are encoded in
/// milliseconds. Malformed input gives fleet_errc::malformed_message.
[[nodiscard]] auto encode(const routing::cold_slot_request& slot_request)
    -> std::string;
[[nodiscard]] auto decode_cold_slot_request(const std::string& body)
    -> core::result<routing::cold_slot_request>;
[[nodiscard]] auto encode(const routing::cold_slot_response& response)
    -> std::string;
[[nodiscard]] auto decode_cold_slot_response(const std::string& body)
    -> core::result<routing::cold_slot_response>;

} // namespace almondtiller::services
