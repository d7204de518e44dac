#include "services/claims/store_executor.h"

#include <utility>

namespace almondtiller::services {

store_executor::store_executor(std::size_t thread_count)
{
    for (auto index = std::size_t(0); index < thread_count; ++index) {
        this->threads.emplace_back([this] { this->loop(); });
    }
}

store_executor::~store_executor()
{
    this->stop();
}

auto store_executor::submit(std::function<void()> call) -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        if (this->stopping) {
            return;
        }
        this->calls.push_back(std::move(call));
    }
    this->changed.notify_one();
}

auto store_executor::stop() -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->stopping = true;
        this->calls.clear();
    }
    this->changed.notify_all();
    for (auto& thread : this->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

auto store_executor::loop() -> void
{
    auto lock = std::unique_lock(this->mutex);
    while (true) {
        this->changed.wait(
            lock, [this] { return this->stopping || !this->calls.empty(); });
        if (this->stopping) {
            return;
        }
        auto call = std::move(this->calls.front());
        this->calls.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

} // namespace almondtiller::services
