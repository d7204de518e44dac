#pragma once

#include "rollout/report.h"

namespace almondtiller::rollout {

/// Ages of an order at which its phases may or must end.
struct phase_schedule
{
    /// Observing ends with enough answers, not before this age.
    core::duration observed_from{0};
    /// Observing ends at the latest.
    core::duration observed_by{0};
    /// A version that is accepted earlier is watched until then, because it may
    /// turn bad.
    core::duration promoted_from{0};
    /// Later, the old version could not finish its work by the deadline.
    core::duration promoted_by{0};
    /// An end is decided at the latest, so that it is written by the deadline.
    core::duration ended_by{0};
    /// Time in which a promoted version is watched before the order completes.
    core::duration watched{0};
    /// Longest time from a directive to a report of its effect.
    core::duration report_delay{0};

    auto operator==(const phase_schedule&) const -> bool = default;
};

/// \param old_work Time that work of the old version takes to end.
/// \param nodes Number of nodes that report.
[[nodiscard]] auto make_schedule(core::duration duration,
                                 core::duration old_work, std::size_t nodes)
    -> phase_schedule;

} // namespace almondtiller::rollout
