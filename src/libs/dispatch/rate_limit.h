#pragma once

#include "core/clock.h"

#include <cstddef>
#include <deque>

namespace almondtiller::dispatch {

/// Limits the number of events in any sliding window, for upstreams that fail
/// if too many requests arrive at once.
class rate_limit
{
public:
    explicit rate_limit(core::duration window);

    /// \return Whether another event keeps the window at \a max_events or
    /// below.
    [[nodiscard]] auto allows(std::size_t max_events, core::time_point now)
        -> bool;

    auto record(core::time_point now) -> void;

private:
    auto expire(core::time_point now) -> void;

    core::duration window;
    std::deque<core::time_point> events;
};

} // namespace almondtiller::dispatch
