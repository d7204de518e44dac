#pragma once

#include "core/clock.h"

#include <functional>

namespace almondtiller::event {

class loop;

/// Calls back once or repeatedly. Destroying it cancels the call.
class timer
{
public:
    timer(loop& owner, std::function<void()> action);
    ~timer();
    timer(const timer&) = delete;
    auto operator=(const timer&) -> timer& = delete;

    /// Calls the action once after \a delay; replaces an earlier start.
    auto start(core::milliseconds delay) -> void;

    /// Calls the action every \a interval, first after \a delay.
    auto start_repeating(core::milliseconds delay, core::milliseconds interval)
        -> void;

    auto stop() -> void;

private:
    struct state;
    state* data;
};

} // namespace almondtiller::event
