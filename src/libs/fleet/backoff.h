#pragma once

#include "core/clock.h"
#include "core/random.h"

namespace almondtiller::fleet {

/// Bounds of an exponential backoff.
struct backoff_options
{
    core::milliseconds least{200};
    core::milliseconds most{5000};

    auto operator==(const backoff_options&) const -> bool = default;
};

/// Exponential backoff with full jitter above a floor: the pause is uniform
/// in [least, min(most, least * 2^failures)], so that clients that failed
/// at the same time do not retry at the same time.
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
    std::uint32_t failed_tries = 0;
};

} // namespace almondtiller::fleet
