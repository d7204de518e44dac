#pragma once

#include "core/clock.h"

#include <functional>

namespace almondtiller::event {

class loop;

/// Calls an action once or repeatedly. Destroying the timer cancels it. An
/// action that is due once and is late, because the loop was busy, is called
/// after the sockets were read: a timeout must not be reported for bytes that
/// have arrived.
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
