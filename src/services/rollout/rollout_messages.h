#pragma once

#include "core/result.h"
#include "rollout/report.h"

#include <string>
#include <string_view>

namespace almondtiller::rollout {

/// Topic of the reports that nodes send to the coordinator of an order.
inline constexpr auto rollout_topic = "rollout";

/// A node's report on an order, sent to the order's coordinator. The response
/// is the newest directive.
struct report_message
{
    rollout::order order;
    node_report report;

    auto operator==(const report_message&) const -> bool = default;
};

// Decoding fails with fleet_errc::malformed_message if the message cannot be
// read.

[[nodiscard]] auto encode(const report_message& message) -> std::string;
[[nodiscard]] auto decode_report(std::string_view body)
    -> core::result<report_message>;

[[nodiscard]] auto encode(const directive& value) -> std::string;
[[nodiscard]] auto decode_directive(std::string_view body)
    -> core::result<directive>;

} // namespace almondtiller::rollout
