#pragma once

#include "core/clock.h"

#include <cstddef>
#include <map>

namespace almondtiller::dispatch {

/// Measures the arrival rate of pieces, by priority, over the last seconds.
/// Load pattern: a burst of one kind of work that lasts longer than the work
/// that it overtakes can wait. A spike, such as callers that all return at
/// once, must not count as a burst; an arrival therefore has little weight at
/// first and its full weight only after a delay.
class arrival_rates
{
public:
    /// \param priority 0 is the most urgent.
    auto record(int priority, std::size_t pieces, core::time_point now) -> void;

    /// \return Arrival rate, in pieces per second, of work that is more urgent
    ///         than \a priority.
    [[nodiscard]] auto rate_more_urgent_than(int priority,
                                             core::time_point now) const
        -> double;

    /// \return Arrival rate of all priorities, in pieces per second.
    [[nodiscard]] auto total_rate(core::time_point now) const -> double;

private:
    /// Two exponential averages in series, in pieces.
    struct rate
    {
        double first_stage = 0.0;
        double second_stage = 0.0;
        core::time_point updated;
    };
    [[nodiscard]] static auto decay(const rate& entry, core::time_point now)
        -> rate;

    std::map<int, rate> rates;
};

} // namespace almondtiller::dispatch
