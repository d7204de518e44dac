#include "core/clock.h"

#include <algorithm>

namespace almondtiller::core {

namespace {

/// Interval at which waiters check a paused clock.
constexpr auto paused_poll_interval = milliseconds(1);

} // namespace

auto runtime_clock::now() const -> time_point
{
    const auto guard = std::lock_guard(this->mutex);
    if (this->paused) {
        return this->paused_at;
    }
    return std::chrono::steady_clock::now() + this->offset;
}

auto runtime_clock::wall_now() const -> std::chrono::system_clock::time_point
{
    return std::chrono::system_clock::now();
}

auto runtime_clock::pause() -> void
{
    const auto guard = std::lock_guard(this->mutex);
    if (!this->paused) {
        this->paused_at = std::chrono::steady_clock::now() + this->offset;
        this->paused = true;
    }
}

auto runtime_clock::advance(duration step) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->paused_at += step;
}

auto runtime_clock::resume() -> void
{
    const auto guard = std::lock_guard(this->mutex);
    if (this->paused) {
        this->offset = this->paused_at - std::chrono::steady_clock::now();
        this->paused = false;
    }
}

auto runtime_clock::wait_until(std::unique_lock<std::mutex>& lock,
                               std::condition_variable& condition,
                               time_point deadline,
                               const std::function<bool()>& ready) const -> bool
{
    while (!ready()) {
        const auto current = this->now();
        if (current >= deadline) {
            return false;
        }
        auto slice = deadline - current;
        {
            const auto guard = std::lock_guard(this->mutex);
            if (this->paused) {
                slice = std::min<duration>(slice, paused_poll_interval);
            }
        }
        condition.wait_for(lock, slice);
    }
    return true;
}

} // namespace almondtiller::core
