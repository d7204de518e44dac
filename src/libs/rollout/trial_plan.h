#pragma once

#include "rollout/report_ledger.h"

namespace almondtiller::rollout {

/// How much may be sent to a new version while it isn't known to be good.
struct trial_plan
{
    double share = 0;
    double extra_per_second = 0;
    std::uint32_t upstreams = 1;
    /// Requests per second that the new version gets by this plan.
    double rate = 0;
    /// Whether the plan spends more than may be sent permanently.
    bool is_burst = false;

    auto operator==(const trial_plan&) const -> bool = default;
};

/// What the plan of a trial follows from.
struct trial_inputs
{
    exposure_limits limits;
    version_room room;
    core::duration duration{0};
    /// Requests per second of the service; 0 if not known yet.
    double rate = 0;
    /// Routes with traffic, at least 1.
    std::size_t routes = 1;
    /// Whether the new upstreams must get as much as an old one.
    bool is_loaded = false;
};

/// \return A plan by which each of the upstreams gets at most as much as an
///         old one had, within the bounds. If not even one upstream can have
///         that permanently, the loaded plan is a burst and the other saves for
///         it.
[[nodiscard]] auto plan_trial(const trial_inputs& inputs) -> trial_plan;

/// \return Requests that may have been sent to the new version by an age of the
///         order.
[[nodiscard]] auto allowed_requests(const exposure_limits& limits,
                                    const sent_totals& totals,
                                    core::duration age, core::duration duration)
    -> double;

} // namespace almondtiller::rollout
