#pragma once

#include "core/clock.h"

#include <functional>
#include <memory>

struct uv_loop_s;

namespace almondtiller::event {

/// The event loop of a process. The constructor makes the process ignore
/// SIGPIPE.
class loop
{
public:
    explicit loop(const core::runtime_clock& clock);
    ~loop();
    loop(const loop&) = delete;
    auto operator=(const loop&) -> loop& = delete;

    /// Runs until stop() is called or no active handles remain.
    auto run() -> void;

    /// Runs the callbacks that are due now, without waiting for others.
    /// \return Whether active handles remain.
    auto run_once() -> bool;

    /// Makes run() return as soon as possible after the current callback.
    auto stop() -> void;

    /// Queues \a action to run after the current callback, in posting order.
    auto post(std::function<void()> action) -> void;

    /// Calls \a action each time the process receives signal \a number.
    auto on_signal(int number, std::function<void()> action) -> void;

    [[nodiscard]] auto now() const -> core::time_point;
    [[nodiscard]] auto native() -> uv_loop_s*;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::event
