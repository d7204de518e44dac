#include "fleet/contact_monitor.h"

#include <algorithm>

namespace almondtiller::fleet {

contact_monitor::contact_monitor(core::milliseconds bound) : bound(bound)
{}

auto contact_monitor::heard_platform(core::time_point now) -> void
{
    this->last_contact = std::max(this->last_contact, now);
}

auto contact_monitor::heard_peer(core::time_point now) -> void
{
    this->knows_peers = true;
    this->last_contact = std::max(this->last_contact, now);
}

auto contact_monitor::is_isolated(core::time_point now) const -> bool
{
    return this->knows_peers && now - this->last_contact > this->bound;
}

} // namespace almondtiller::fleet
