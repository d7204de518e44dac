#include "core/periodic_task.h"

#include <utility>

namespace almondtiller::core {

periodic_task::periodic_task(const runtime_clock& clock, body run)
    : clock(clock), run(std::move(run)), thread([this] { this->loop(); })
{}

periodic_task::~periodic_task()
{
    this->stop();
}

auto periodic_task::wake() -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->woken = true;
    }
    this->changed.notify_all();
}

auto periodic_task::stop() -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

auto periodic_task::loop() -> void
{
    auto lock = std::unique_lock(this->mutex);
    while (!this->stopping) {
        this->woken = false;
        lock.unlock();
        const auto pause = this->run();
        lock.lock();
        this->clock.wait_until(
            lock, this->changed, this->clock.now() + pause,
            [this] { return this->woken || this->stopping; });
    }
}

} // namespace almondtiller::core
