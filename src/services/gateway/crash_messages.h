#pragma once

#include "core/result.h"
#include "dispatch/prompt_quarantine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::gateway {

/// What a node has observed about the prompt parts and the requests that crash
/// upstreams.
struct crash_message
{
    /// A crash that the node has detected, with the prompt parts that were
    /// there.
    std::optional<dispatch::upstream_crash> crash;
    /// Suspected parts with which answers have begun.
    std::vector<dispatch::known_part> answered;
    /// The fingerprints of the requests that were at the crash.
    std::vector<dispatch::known_part> fingerprints;
    /// Suspected fingerprints of requests whose answers have begun.
    std::vector<dispatch::known_part> answered_fingerprints;

    auto operator==(const crash_message&) const -> bool = default;
};

// Times are sent as milliseconds from now, because the clocks of nodes differ.
// Decoding fails with fleet_errc::malformed_message if the message cannot be
// read.

[[nodiscard]] auto encode(const crash_message& message, core::time_point now)
    -> std::string;
[[nodiscard]] auto decode_crash(std::string_view body, core::time_point now)
    -> core::result<crash_message>;

} // namespace almondtiller::gateway
