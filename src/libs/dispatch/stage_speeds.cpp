#include "dispatch/stage_limits.h"
#include "dispatch/stage_queue.h"

#include <algorithm>

namespace almondtiller::dispatch {

auto stage_queue::upstream_speeds() -> upstream_speed::service_speeds&
{
    return this->speeds;
}

auto stage_queue::track_speeds() -> void
{
    auto keys = std::vector<upstream_speed::upstream_key>();
    keys.reserve(this->upstreams.size());
    for (auto& [id, state] : this->upstreams) {
        state.speed_index = keys.size();
        keys.push_back({id, 0});
    }
    this->speeds.set_upstreams(keys);
}

auto stage_queue::lasting_slowness(const upstream_state& upstream) const
    -> double
{
    if (!this->speeds.is_enabled()) {
        return upstream.slowness;
    }
    const auto slow_part = this->speeds.at(upstream.speed_index).slow_part();
    // The last call shows a hanging upstream before the estimate does. Below
    // that it is noise.
    return upstream.slowness >= slow_ratio
               ? std::max(slow_part, upstream.slowness)
               : slow_part;
}

auto stage_queue::present_slowness(const upstream_state& upstream,
                                   core::time_point now) const -> double
{
    return this->lasting_slowness(upstream) *
           this->speeds.at(upstream.speed_index).quick_part(now);
}

auto stage_queue::expected_call_time(const upstream_state& upstream,
                                     std::size_t items,
                                     core::time_point now) const
    -> core::duration
{
    const auto nominal = this->nominal_call_time(items);
    const auto lasting = this->lasting_slowness(upstream);
    if (!this->speeds.is_enabled()) {
        return std::chrono::duration_cast<core::duration>(
            nominal * std::max(lasting, 1.0));
    }
    const auto& speed = this->speeds.at(upstream.speed_index);
    const auto nominal_ms =
        std::chrono::duration<double, std::milli>(nominal).count();
    // The estimate contains its slow part already.
    const auto present =
        speed.expected_ms(nominal_ms * lasting / speed.slow_part(), now);
    return as_duration(std::chrono::duration<double, std::milli>(
        std::max(present, nominal_ms)));
}

auto stage_queue::record_call(upstream_state& upstream, const call_state& call,
                              core::time_point now) -> void
{
    const auto ratio = std::chrono::duration<double>(now - call.sent_at) /
                       std::chrono::duration<double>(
                           this->nominal_call_time(call.pieces.size()));
    if (!this->speeds.is_enabled()) {
        upstream.slowness += (ratio - upstream.slowness) * slowness_weight;
        return;
    }
    // What the machine stated explains a part of the time.
    const auto& speed = this->speeds.at(upstream.speed_index);
    const auto quick = (call.quick_part + speed.quick_part(now)) / 2.0;
    upstream.slowness += (ratio / quick - upstream.slowness) * slowness_weight;
    this->speeds.record(upstream.speed_index, ratio / quick, now);
}

} // namespace almondtiller::dispatch
