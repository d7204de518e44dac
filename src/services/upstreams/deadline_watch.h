#pragma once

#include "core/clock.h"
#include "core/periodic_task.h"

#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace almondtiller::services {

/// Ends calls that block on a socket when their deadline passes or their
/// request is given up. Thread-safe.
class deadline_watch
{
public:
    /// Why a call was ended.
    enum class verdict
    {
        none,
        deadline_passed,
        abandoned,
    };

    struct call
    {
        core::time_point deadline;
        /// Makes the blocking call return; called again while it goes on.
        std::function<void()> stop;
        std::function<bool()> is_abandoned; ///< May be empty.
    };

    /// Watches one call for as long as it lives.
    class guard
    {
    public:
        guard(deadline_watch& watch, call watched);
        ~guard();
        guard(const guard&) = delete;
        auto operator=(const guard&) -> guard& = delete;

        /// Ends the watch.
        /// \return Why the call was ended.
        auto release() -> verdict;

    private:
        struct state;
        friend class deadline_watch;

        deadline_watch& watch;
        std::shared_ptr<state> watched;
    };

    explicit deadline_watch(const core::runtime_clock& clock);
    ~deadline_watch();
    deadline_watch(const deadline_watch&) = delete;
    auto operator=(const deadline_watch&) -> deadline_watch& = delete;

    /// Stops the thread. Idempotent.
    auto stop() -> void;

private:
    auto check() -> core::duration;

    const core::runtime_clock& clock;
    std::mutex mutex;
    std::list<std::shared_ptr<guard::state>> calls;
    core::time_point next_check;
    core::periodic_task checker;
};

} // namespace almondtiller::services
