#pragma once

#include "core/clock.h"
#include "settings/effective.h"

namespace almondtiller::fleet {

/// The times of the steps of a graceful shutdown.
struct leave_schedule
{
    /// From this time on, new requests are rejected with an answer that names
    /// other nodes. Before it, the node serves as usual.
    core::time_point reject_from;
    /// From this time on, the node does not listen for connections.
    core::time_point stop_listening_from;

    auto operator==(const leave_schedule&) const -> bool = default;
};

/// Computes the schedule of a node that begins to leave at \a now. Another node
/// may still name this node in endpoint answers until gossip has delivered its
/// record, and callers keep such an answer for its lifetime. The node therefore
/// continues to serve for at least the endpoint lifetime plus the time that
/// gossip takes, even when leave_delay is shorter.
[[nodiscard]] auto plan_leaving(const settings::fleet_settings& settings,
                                core::time_point now) -> leave_schedule;

} // namespace almondtiller::fleet
