#include "rollout/phase_schedule.h"

#include <algorithm>

namespace almondtiller::rollout {

namespace {

/// Interval of the reports of a node: the longer of the two.
constexpr auto least_interval = core::milliseconds(500);
constexpr auto interval_per_node = core::milliseconds(5);
/// A directive reaches a node with its next report, and shows in the one after.
constexpr auto intervals_to_effect = 2;
/// Time to write the status, in addition to the report delay.
constexpr auto status_time = core::milliseconds(500);
/// Some work takes longer than all that was seen, in percent of that.
constexpr auto longer_work = 115;
/// Slow answers, which take several times as long, must show after the
/// promotion.
constexpr auto slow_work = 3;
constexpr auto least_watched = core::milliseconds(1000);

auto part_of(core::duration whole, int percent) -> core::duration
{
    return whole * percent / 100;
}

} // namespace

auto make_schedule(core::duration duration, core::duration old_work,
                   std::size_t nodes) -> phase_schedule
{
    const auto interval = std::max<core::duration>(
        least_interval, interval_per_node * std::int64_t(nodes));
    auto schedule = phase_schedule();
    schedule.report_delay = interval * intervals_to_effect;
    const auto margin = schedule.report_delay + status_time;
    schedule.ended_by = std::max(duration - margin, part_of(duration, 60));
    const auto watched = std::max<core::duration>(
        least_watched, std::min<core::duration>(part_of(duration, 10),
                                                core::milliseconds(30000)));
    schedule.watched = std::max(watched, slow_work * old_work);
    const auto drained = std::max(part_of(old_work, longer_work), watched);
    schedule.promoted_by =
        std::max(schedule.ended_by - drained - schedule.report_delay,
                 part_of(duration, 20));
    schedule.promoted_from =
        std::min(part_of(duration, 70), schedule.promoted_by);
    schedule.observed_by =
        std::min(part_of(duration, 40), schedule.promoted_by / 2);
    schedule.observed_from =
        std::min(part_of(duration, 20), schedule.observed_by);
    return schedule;
}

} // namespace almondtiller::rollout
