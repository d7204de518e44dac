#include "services/upstreams/deadline_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace almondtiller::services {

namespace {

constexpr auto check_interval = core::milliseconds(50);
constexpr auto min_pause = core::milliseconds(1);

} // namespace

struct deadline_watch::guard::state
{
    std::mutex mutex;
    call watched;
    verdict ended = verdict::none;
    bool released = false;

    /// Ends the call when it is due.
    auto check(core::time_point now) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->released) {
            return;
        }
        if (this->ended == verdict::none) {
            if (now >= this->watched.deadline) {
                this->ended = verdict::deadline_passed;
            } else if (this->watched.is_abandoned &&
                       this->watched.is_abandoned()) {
                this->ended = verdict::abandoned;
            }
        }
        if (this->ended != verdict::none) {
            this->watched.stop();
        }
    }
};

deadline_watch::guard::guard(deadline_watch& watch, call watched)
    : watch(watch), watched(std::make_shared<state>())
{
    const auto deadline = watched.deadline;
    this->watched->watched = std::move(watched);
    auto is_earlier = false;
    {
        const auto lock = std::lock_guard(watch.mutex);
        watch.calls.push_back(this->watched);
        is_earlier = deadline < watch.next_check;
    }
    if (is_earlier) {
        watch.checker.wake();
    }
}

deadline_watch::guard::~guard()
{
    this->release();
}

auto deadline_watch::guard::release() -> verdict
{
    {
        const auto lock = std::lock_guard(this->watch.mutex);
        this->watch.calls.remove(this->watched);
    }
    const auto lock = std::lock_guard(this->watched->mutex);
    this->watched->released = true;
    return this->watched->ended;
}

deadline_watch::deadline_watch(const core::runtime_clock& clock)
    : clock(clock),
      next_check(clock.now()),
      checker(clock, [this] { return this->check(); })
{}

deadline_watch::~deadline_watch()
{
    this->stop();
}

auto deadline_watch::stop() -> void
{
    this->checker.stop();
}

auto deadline_watch::check() -> core::duration
{
    const auto now = this->clock.now();
    auto due = std::vector<std::shared_ptr<guard::state>>();
    auto next = now + check_interval;
    {
        const auto lock = std::lock_guard(this->mutex);
        due.assign(this->calls.begin(), this->calls.end());
        for (const auto& entry : due) {
            if (entry->watched.deadline > now) {
                next = std::min(next, entry->watched.deadline);
            }
        }
        this->next_check = next;
    }
    for (const auto& entry : due) {
        entry->check(now);
    }
    return std::max<core::duration>(next - this->clock.now(), min_pause);
}

} // namespace almondtiller::services
