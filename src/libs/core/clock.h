#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace almondtiller::core {

/// Monotonic time of this process. Not comparable between processes.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// The process's clock: monotonic time that tests can pause and advance.
/// Thread-safe. No other code reads the operating system's clocks.
class runtime_clock
{
public:
    /// \return The current monotonic time.
    [[nodiscard]] auto now() const -> time_point;

    /// \return Wall-clock time, only for records that people read; it must not
    ///         be used in decisions.
    [[nodiscard]] auto wall_now() const
        -> std::chrono::system_clock::time_point;

    /// Stops time at its current value until advance() or resume().
    auto pause() -> void;

    /// Moves a paused clock forward.
    /// \pre The clock is paused.
    auto advance(duration step) -> void;

    /// Continues a paused clock from its current value.
    auto resume() -> void;

    /// Waits until \a ready returns true or the clock reaches \a deadline.
    /// \return Whether \a ready returned true.
    auto wait_until(std::unique_lock<std::mutex>& lock,
                    std::condition_variable& condition, time_point deadline,
                    const std::function<bool()>& ready) const -> bool;

private:
    mutable std::mutex mutex;
    bool paused = false;
    time_point paused_at;
    duration offset{};
};

} // namespace almondtiller::core
