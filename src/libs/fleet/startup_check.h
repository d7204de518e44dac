#pragma once

#include "core/ids.h"

#include <set>

namespace almondtiller::fleet {

/// Decides when a starting node may serve the configuration that it has. The
/// platform must have confirmed it, or several peers while the platform is
/// unavailable, so that one stale peer cannot bring back an old revision. Not
/// thread-safe.
class startup_check
{
public:
    /// Number of peers that must have reported their revision.
    static constexpr auto required_peers = std::size_t(3);

    auto on_platform_confirmed() -> void;

    /// Records that a peer that has a configuration reported its revision.
    auto on_peer_report(const core::node_id& peer) -> void;

    /// \param known_peers Number of alive peers. When it is less than
    ///        required_peers, that many reports suffice, but at least one.
    [[nodiscard]] auto is_complete(std::size_t known_peers) const -> bool;

private:
    bool is_platform_confirmed = false;
    std::set<core::node_id> reporting_peers;
};

} // namespace almondtiller::fleet
