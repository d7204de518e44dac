#pragma once

#include "core/ids.h"

#include <set>

namespace almondtiller::fleet {

/// Decides when a starting node knows a configuration that it may serve:
/// confirmed by the platform, or by several peers while that is away, so that
/// one stale peer cannot bring back an old revision. Not thread-safe.
class startup_check
{
public:
    /// Peers that must have told their revision.
    static constexpr auto wanted_peers = std::size_t(3);

    auto platform_answered() -> void;

    /// A peer with a configuration told it.
    auto peer_answered(const core::node_id& peer) -> void;

    /// \param known_peers Peers that are alive.
    [[nodiscard]] auto is_complete(std::size_t known_peers) const -> bool;

private:
    bool has_platform = false;
    std::set<core::node_id> peers;
};

} // namespace almondtiller::fleet
