#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <cstdint>
#include <optional>

namespace almondtiller::routing {

/// Bounds of the exponential backoff before a retry.
struct backoff_settings
{
    core::duration initial = std::chrono::milliseconds(5);
    core::duration max_delay = std::chrono::milliseconds(250);

    auto operator==(const backoff_settings&) const -> bool = default;
};

/// Computes an exponential backoff with full jitter, bounded by the deadline.
/// \param retries Number of retries made before this one.
/// \param remaining Time left until the deadline.
/// \param needed Estimated duration of the retry itself.
/// \return The delay, or nothing when the retry cannot end before the
///         deadline.
[[nodiscard]] auto retry_delay(const backoff_settings& settings,
                               std::uint32_t retries, core::duration remaining,
                               core::duration needed,
                               core::random_source& random)
    -> std::optional<core::duration>;

} // namespace almondtiller::routing
