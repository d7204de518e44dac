#pragma once

#include "core/clock.h"

#include <functional>

namespace almondtiller::event {

class loop;

/// Calls an action once or repeatedly. Destroying the timer cancels it.
class timer
{
public:
    timer(loop& event_loop, std::function<void()> action);
    ~timer();
    timer(const timer&) = delete;
    auto operator=(const timer&) -> timer& = delete;

    /// Calls the action once after \a delay; replaces an earlier schedule.
    auto start(core::milliseconds delay) -> void;

    /// Calls the action first after \a delay, then every \a interval.
    auto start_repeating(core::milliseconds delay, core::milliseconds interval)
        -> void;

    auto stop() -> void;

private:
    struct state;
    state* data;
};

} // namespace almondtiller::event
