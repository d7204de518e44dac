#pragma once

#include "core/clock.h"

#include <functional>
#include <memory>

struct uv_loop_s;

namespace almondtiller::event {

/// The event loop of a process. The process ignores SIGPIPE from then on.
class loop
{
public:
    explicit loop(const core::runtime_clock& clock);
    ~loop();
    loop(const loop&) = delete;
    auto operator=(const loop&) -> loop& = delete;

    /// Runs until stop().
    auto run() -> void;

    /// Runs what is due now without waiting.
    /// \return Whether active handles remain.
    auto run_once() -> bool;

    /// Ends run() after the current callback.
    auto stop() -> void;

    /// Runs \a action after the current callback, in the order of posting.
    auto post(std::function<void()> action) -> void;

    /// Calls \a action each time the process gets \a number.
    auto on_signal(int number, std::function<void()> action) -> void;

    [[nodiscard]] auto now() const -> core::time_point;
    [[nodiscard]] auto native() -> uv_loop_s*;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::event
