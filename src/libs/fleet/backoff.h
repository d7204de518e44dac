#pragma once

#include "core/clock.h"
#include "core/random.h"

namespace almondtiller::fleet {

/// Bounds of an exponential backoff.
struct backoff_options
{
    core::milliseconds min_pause{200};
    core::milliseconds max_pause{5000};

    auto operator==(const backoff_options&) const -> bool = default;
};

/// Exponential backoff with full jitter above a floor: the pause is uniform
/// in [min_pause, min(max_pause, min_pause * 2^failures)], so that clients that
/// failed at the same time do not retry at the same time.
class backoff
{
public:
    explicit backoff(const backoff_options& options);

    /// Counts a failure.
    /// \return The pause before the next attempt.
    auto failed(core::random_source& random) -> core::milliseconds;
    auto succeeded() -> void;

    [[nodiscard]] auto failures() const -> std::uint32_t;

private:
    backoff_options options;
    std::uint32_t failure_count = 0;
};

} // namespace almondtiller::fleet
