#pragma once

#include "harness/cluster.h"
#include "load/traffic.h"
#include "settings/snapshot.h"

namespace almondtiller::experiment {

/// How a baseline chooses upstreams and repeats attempts.
enum class baseline_policy
{
    /// In turn, and up to three more attempts after any failure.
    round_robin_with_retries,
    /// The least of its own in flight, and an attempt's time limit.
    least_in_flight_with_timeouts,
};

/// \return A sender that runs each pipeline's stages itself, one call after
///         the other, at the upstreams of a cluster. All its workers share
///         one view, which a fleet of several balancers would not have.
auto send_by_baseline(harness::cluster& cluster,
                      const settings::snapshot_ptr& declared,
                      baseline_policy policy, std::size_t workers)
    -> load::traffic_sender;

} // namespace almondtiller::experiment
