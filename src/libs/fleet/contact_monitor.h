#pragma once

#include "core/clock.h"

namespace almondtiller::fleet {

/// Detects that this node is isolated. A node that can reach neither the
/// platform nor any peer does not receive the change that takes its zone out.
/// It must therefore stop accepting requests within the time guaranteed for
/// such a change. A node that never had a peer is a fleet of one node and
/// continues to serve while the platform is unavailable. Not thread-safe.
class contact_monitor
{
public:
    /// \param isolation_timeout Time without any contact after which the node
    ///        is isolated.
    explicit contact_monitor(
        core::milliseconds isolation_timeout = core::milliseconds(3000));

    auto on_platform_contact(core::time_point now) -> void;
    auto on_peer_contact(core::time_point now) -> void;

    [[nodiscard]] auto is_isolated(core::time_point now) const -> bool;

private:
    core::milliseconds isolation_timeout;
    core::time_point last_contact;
    bool has_had_peer = false;
};

} // namespace almondtiller::fleet
