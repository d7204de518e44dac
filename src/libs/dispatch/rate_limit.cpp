#include "dispatch/rate_limit.h"

namespace almondtiller::dispatch {

rate_limit::rate_limit(core::duration length) : window(length)
{}

auto rate_limit::allows(std::size_t max_events, core::time_point now) -> bool
{
    this->expire(now);
    return this->events.size() < max_events;
}

auto rate_limit::record(core::time_point now) -> void
{
    this->expire(now);
    this->events.push_back(now);
}

auto rate_limit::expire(core::time_point now) -> void
{
    while (!this->events.empty() &&
           now - this->events.front() >= this->window) {
        this->events.pop_front();
    }
}

} // namespace almondtiller::dispatch
