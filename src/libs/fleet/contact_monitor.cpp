#include "fleet/contact_monitor.h"

#include <algorithm>

namespace almondtiller::fleet {

contact_monitor::contact_monitor(core::milliseconds isolation_timeout)
    : isolation_timeout(isolation_timeout)
{}

auto contact_monitor::on_platform_contact(core::time_point now) -> void
{
    this->last_contact = std::max(this->last_contact, now);
}

auto contact_monitor::on_peer_contact(core::time_point now) -> void
{
    this->has_had_peer = true;
    this->last_contact = std::max(this->last_contact, now);
}

auto contact_monitor::is_isolated(core::time_point now) const -> bool
{
    return this->has_had_peer &&
           now - this->last_contact > this->isolation_timeout;
}

} // namespace almondtiller::fleet
