#pragma once

#include "core/clock.h"
#include "settings/effective.h"

namespace almondtiller::fleet {

/// When the steps of a graceful shutdown happen.
struct leave_schedule
{
    /// Until then the node serves as before.
    core::time_point refuse_from;
    /// Until then new requests get a refusal that names other nodes.
    core::time_point stop_listening_from;

    auto operator==(const leave_schedule&) const -> bool = default;
};

/// A caller may have asked another node just before that one learned of the
/// leaving, and keeps the answer for its lifetime. The node serves on for at
/// least the lifetime and the time that gossip takes, also when leave_delay
/// is set to less.
[[nodiscard]] auto plan_leaving(const settings::fleet_settings& settings,
                                core::time_point now) -> leave_schedule;

} // namespace almondtiller::fleet
