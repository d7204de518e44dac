#pragma once

#include "core/clock.h"

namespace almondtiller::fleet {

/// Limits the rate of one node's calls to the platform with a token bucket.
/// Not thread-safe.
class store_budget
{
public:
    /// \param per_second Sustained rate in calls per second.
    /// \param burst Capacity of the bucket in calls.
    explicit store_budget(double per_second = 5.0, double burst = 100.0);

    /// Takes one token.
    /// \return Whether a call may be made now.
    [[nodiscard]] auto try_acquire(core::time_point now) -> bool;

private:
    double per_second;
    double burst;
    double tokens;
    core::time_point last_refill;
};

} // namespace almondtiller::fleet
