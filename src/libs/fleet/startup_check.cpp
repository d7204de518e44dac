#include "fleet/startup_check.h"

#include <algorithm>

namespace almondtiller::fleet {

auto startup_check::on_platform_confirmed() -> void
{
    this->is_platform_confirmed = true;
}

auto startup_check::on_peer_report(const core::node_id& peer) -> void
{
    this->reporting_peers.insert(peer);
}

auto startup_check::is_complete(std::size_t known_peers) const -> bool
{
    const auto needed = std::min(known_peers, required_peers);
    return this->is_platform_confirmed ||
           (needed > 0 && this->reporting_peers.size() >= needed);
}

} // namespace almondtiller::fleet
