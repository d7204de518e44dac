#pragma once

#include <condition_variable>
#include <mutex>

namespace almondtiller::services {

/// Holds threads back until it is opened.
class gate
{
public:
    auto wait() -> void
    {
        auto lock = std::unique_lock(this->mutex);
        ++this->held;
        this->changed.notify_all();
        this->changed.wait(lock, [this] { return this->is_open; });
    }

    /// Blocks until a thread is held.
    auto await_held() -> void
    {
        auto lock = std::unique_lock(this->mutex);
        this->changed.wait(lock, [this] { return this->held > 0; });
    }

    auto open() -> void
    {
        const auto guard = std::lock_guard(this->mutex);
        this->is_open = true;
        this->changed.notify_all();
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    int held = 0;
    bool is_open = false;
};

} // namespace almondtiller::services
