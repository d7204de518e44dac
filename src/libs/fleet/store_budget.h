#pragma once

#include "core/clock.h"

namespace almondtiller::fleet {

/// Bounds the calls of one node to the platform, as a token bucket. Not
/// thread-safe.
class store_budget
{
public:
    /// \param per_second Calls that may be made each second in the long run.
    /// \param burst Calls that may be made at once after a quiet time.
    explicit store_budget(double per_second = 5.0, double burst = 100.0);

    /// \return Whether a call may be made now; it is then counted.
    [[nodiscard]] auto try_take(core::time_point now) -> bool;

private:
    double per_second;
    double burst;
    double tokens;
    core::time_point refilled;
};

} // namespace almondtiller::fleet
