#include "services/gateway/speed_log.h"

#include <algorithm>

namespace almondtiller::gateway {

namespace {

constexpr auto usual_percent = 100.0;

} // namespace

auto to_statement(double percent, core::time_point now)
    -> upstream_speed::statement
{
    return {percent / usual_percent, now};
}

auto log_speed_changes(event_log& log, const dispatch::shard& shard,
                       upstream_speed::service_speeds& speeds) -> void
{
    for (const auto& change : speeds.take_changes()) {
        log.write(
            severity::notice, "upstream_speed",
            {{"upstream", change.upstream.str()},
             {"service", shard.service.str()},
             {"zone", shard.zone.str()},
             {"state", std::string(upstream_speed::name_of(change.state))},
             {"measured_factor", std::to_string(change.slow_part)},
             {"samples", std::to_string(change.samples)},
             {"stated_percent",
              change.stated ? std::to_string(*change.stated * usual_percent)
                            : "none"}});
    }
}

auto add_speeds(service_load& load,
                const upstream_speed::service_speeds& speeds,
                core::time_point now) -> void
{
    if (!speeds.is_enabled()) {
        return;
    }
    const auto added = speeds.summary(now);
    const auto others = load.speeds.value_or(added);
    load.speeds = {std::max(added.slowest, others.slowest),
                   std::max(added.median, others.median)};
}

} // namespace almondtiller::gateway
