#include "fleet/leave_schedule.h"

#include <algorithm>

namespace almondtiller::fleet {

namespace {

/// Rounds of gossip within which practically every node has received the
/// record of a leaving node.
constexpr auto gossip_rounds = 2;

constexpr auto rejection_period = core::milliseconds(500);

} // namespace

auto plan_leaving(const settings::fleet_settings& settings,
                  core::time_point now) -> leave_schedule
{
    const auto min_delay =
        settings.endpoint_lifetime + settings.gossip_interval * gossip_rounds;
    const auto reject_from = now + std::max(settings.leave_delay, min_delay);
    return {reject_from, reject_from + rejection_period};
}

} // namespace almondtiller::fleet
