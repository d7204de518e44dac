#pragma once

#include "core/clock.h"

#include <cstddef>
#include <deque>

namespace almondtiller::dispatch {

/// Limits the retries of a service in any sliding window to a share of its
/// first sends plus a constant. The sums cover all nodes, as one node decides
/// for all. Load pattern: upstreams that fail under a burst, where unlimited
/// retries add to the load that made them fail.
class retry_budget
{
public:
    /// \param ratio Retries per first send.
    /// \param allowance Retries per window in addition to the ratio.
    retry_budget(double ratio, double allowance, core::duration window);

    auto set_allowance(double allowance) -> void;

    /// Counts a first send.
    auto deposit(core::time_point now) -> void;

    /// Counts a retry if the budget allows it.
    /// \return Whether the retry may be sent.
    auto try_withdraw(core::time_point now) -> bool;

private:
    struct slice
    {
        core::time_point start;
        std::size_t first_sends = 0;
        std::size_t retries = 0;
    };
    auto current(core::time_point now) -> slice&;

    double ratio;
    double allowance;
    core::duration window;
    std::deque<slice> slices;
};

} // namespace almondtiller::dispatch
