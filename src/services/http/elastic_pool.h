#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace almondtiller::services {

/// Threads that are started when work waits and end when they find none.
/// Thread-safe. Waits in real time.
class elastic_pool
{
public:
    using job = std::function<void()>;

    explicit elastic_pool(std::size_t max_threads);
    ~elastic_pool();
    elastic_pool(const elastic_pool&) = delete;
    auto operator=(const elastic_pool&) -> elastic_pool& = delete;

    /// Takes a job in.
    /// \return False when every thread is busy and none may be added; the
    ///         job was not taken then.
    auto submit(job added) -> bool;

    /// Takes a job in for the next thread that gets free.
    auto submit_waiting(job added) -> void;

    /// Waits for the jobs that were taken. Idempotent.
    auto shutdown() -> void;

    [[nodiscard]] auto threads() const -> std::size_t;

private:
    auto work() -> void;
    auto take(std::unique_lock<std::mutex>& lock) -> job;

    const std::size_t max_threads;
    mutable std::mutex mutex;
    std::condition_variable added;
    std::condition_variable ended;
    std::deque<job> jobs;
    std::size_t running = 0;
    std::size_t idle = 0;
    bool stopping = false;
};

} // namespace almondtiller::services
