#include "services/http/elastic_pool.h"

#include <chrono>
#include <thread>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto idle_lifetime = std::chrono::seconds(10);

} // namespace

elastic_pool::elastic_pool(std::size_t max_threads) : max_threads(max_threads)
{}

elastic_pool::~elastic_pool()
{
    this->shutdown();
}

auto elastic_pool::submit(job added) -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    if (this->idle > this->jobs.size()) {
        this->jobs.push_back(std::move(added));
        this->added.notify_one();
        return true;
    }
    if (this->running >= this->max_threads) {
        return false;
    }
    this->jobs.push_back(std::move(added));
    ++this->running;
    std::thread([this] { this->work(); }).detach();
    return true;
}

auto elastic_pool::submit_waiting(job added) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->jobs.push_back(std::move(added));
    this->added.notify_one();
}

auto elastic_pool::shutdown() -> void
{
    auto lock = std::unique_lock(this->mutex);
    this->stopping = true;
    this->added.notify_all();
    this->ended.wait(lock, [this] { return this->running == 0; });
}

auto elastic_pool::threads() const -> std::size_t
{
    const auto guard = std::lock_guard(this->mutex);
    return this->running;
}

auto elastic_pool::work() -> void
{
    auto lock = std::unique_lock(this->mutex);
    while (auto next = this->take(lock)) {
        lock.unlock();
        next();
        lock.lock();
    }
    --this->running;
    this->ended.notify_all();
}

/// \return Nothing when the thread is to end.
auto elastic_pool::take(std::unique_lock<std::mutex>& lock) -> job
{
    ++this->idle;
    this->added.wait_for(lock, idle_lifetime, [this] {
        return this->stopping || !this->jobs.empty();
    });
    --this->idle;
    if (this->jobs.empty()) {
        return nullptr;
    }
    auto next = std::move(this->jobs.front());
    this->jobs.pop_front();
    return next;
}

} // namespace almondtiller::services
