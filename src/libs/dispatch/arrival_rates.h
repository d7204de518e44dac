#pragma once

#include "core/clock.h"

#include <cstddef>
#include <map>

namespace almondtiller::dispatch {

/// Measures how much work arrives a second, by priority, over the last
/// seconds. Load pattern: a burst of one kind that lasts longer than what it
/// overtakes can wait. A spike, as of callers that come back all at once, is
/// none: an arrival counts little at first, most after a while.
class arrival_rates
{
public:
    /// \param priority 0 is the most urgent.
    auto record(int priority, std::size_t pieces, core::time_point now) -> void;

    /// \return Pieces a second that are more urgent than that priority.
    [[nodiscard]] auto more_urgent(int priority, core::time_point now) const
        -> double;

    /// \return Pieces a second of all priorities.
    [[nodiscard]] auto total(core::time_point now) const -> double;

private:
    /// Two averages in a row.
    struct rate
    {
        double newest = 0.0;
        double settled = 0.0;
        core::time_point updated;
    };
    [[nodiscard]] static auto at(const rate& entry, core::time_point now)
        -> rate;

    std::map<int, rate> rates;
};

} // namespace almondtiller::dispatch
