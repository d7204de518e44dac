#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace almondtiller::core {

/// Runs a function repeatedly on its own thread and waits between runs for the
/// time that the function returned.
class periodic_task
{
public:
    /// Executes one run and returns the pause before the next one.
    using body = std::function<duration()>;

    periodic_task(const runtime_clock& clock, body run);
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    auto operator=(const periodic_task&) -> periodic_task& = delete;

    /// Ends the current pause so that the next run starts at once.
    auto wake() -> void;

    /// Stops after the current run and joins the thread. Idempotent.
    auto stop() -> void;

private:
    auto loop() -> void;

    const runtime_clock& clock;
    body run;
    std::mutex mutex;
    std::condition_variable changed;
    bool woken = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace almondtiller::core
