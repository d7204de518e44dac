#include "harness/wait.h"

#include <condition_variable>
#include <mutex>

namespace almondtiller::harness {

namespace {

constexpr auto poll_interval = core::milliseconds(10);

auto clock() -> const core::runtime_clock&
{
    static const auto instance = core::runtime_clock();
    return instance;
}

} // namespace

auto eventually(const std::function<bool()>& condition,
                core::milliseconds bound) -> bool
{
    const auto deadline = now() + bound;
    while (!condition()) {
        if (now() >= deadline) {
            return false;
        }
        let_pass(poll_interval);
    }
    return true;
}

auto now() -> core::time_point
{
    return clock().now();
}

auto let_pass(core::milliseconds time) -> void
{
    auto mutex = std::mutex();
    auto never = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    clock().wait_until(lock, never, now() + time, [] { return false; });
}

} // namespace almondtiller::harness
