#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace almondtiller::services {

/// Runs blocking store calls on a few threads of its own, in order of
/// submission. The bound of what waits is the caller's.
class store_executor
{
public:
    explicit store_executor(std::size_t thread_count);
    ~store_executor();
    store_executor(const store_executor&) = delete;
    auto operator=(const store_executor&) -> store_executor& = delete;

    /// Queues a call; ignored after stop().
    auto submit(std::function<void()> call) -> void;

    /// Drops what has not started and joins the threads. Idempotent.
    auto stop() -> void;

private:
    auto loop() -> void;

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> calls;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace almondtiller::services
