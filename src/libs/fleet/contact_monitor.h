#pragma once

#include "core/clock.h"

namespace almondtiller::fleet {

/// Tells whether this node is cut off. A node that hears neither the platform
/// nor any peer cannot learn that a zone was taken out, so it must stop to
/// take new requests within the time in which that is promised. A node that
/// never had a peer is a fleet of its own and goes on while the platform is
/// away. Not thread-safe.
class contact_monitor
{
public:
    /// \param bound Silence after which the node counts as cut off.
    explicit contact_monitor(
        core::milliseconds bound = core::milliseconds(3000));

    auto heard_platform(core::time_point now) -> void;
    auto heard_peer(core::time_point now) -> void;

    [[nodiscard]] auto is_isolated(core::time_point now) const -> bool;

private:
    core::milliseconds bound;
    core::time_point last_contact;
    bool knows_peers = false;
};

} // namespace almondtiller::fleet
