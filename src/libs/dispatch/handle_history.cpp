#include "dispatch/handle_history.h"

#include "routing/rendezvous.h"

namespace almondtiller::dispatch {

handle_history::handle_history(core::duration time) : retention(time)
{}

auto handle_history::record(const std::string& handle, core::time_point now)
    -> void
{
    while (!this->by_time.empty() &&
           now - this->by_time.front().first >= this->retention) {
        this->known.erase(this->known.find(this->by_time.front().second));
        this->by_time.pop_front();
    }
    const auto hash = routing::placement_hash(handle);
    this->by_time.emplace_back(now, hash);
    this->known.insert(hash);
}

auto handle_history::contains(const std::string& handle) const -> bool
{
    return this->known.contains(routing::placement_hash(handle));
}

} // namespace almondtiller::dispatch
