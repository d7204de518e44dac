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

/// The runtime's clock: monotonic time that tests pause and advance.
/// Thread-safe. The only place that reads the operating system's clocks.
class runtime_clock
{
public:
    /// \return The current monotonic time.
    [[nodiscard]] auto now() const -> time_point;

    /// \return Wall-clock time, for records that people read; never for
    ///         decisions.
    [[nodiscard]] auto wall_now() const
        -> std::chrono::system_clock::time_point;

    /// Stops time at its current value until advance() or resume().
    auto pause() -> void;

    /// Moves a paused clock forward.
    /// \pre The clock is paused.
    auto advance(duration step) -> void;

    /// Lets time run again, from where it was paused.
    auto resume() -> void;

    /// Waits until \a ready holds or the clock reaches \a deadline.
    /// \return The value of \a ready at the end of the wait.
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
