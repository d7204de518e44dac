#include "dispatch/placement.h"

#include <algorithm>

namespace almondtiller::dispatch {

namespace {

/// Samples of a service after which its line of times is good enough to compare
/// upstreams with; before, the prior would appear as slowness of those that are
/// measured first.
constexpr auto min_service_samples = std::uint64_t(60);
/// Weight of the newest stream in the mean time between events.
constexpr auto event_time_weight = 0.02;
/// Placement cost of a millisecond by which the events of an answer come later
/// than at an upstream of usual speed: a tenth of the cost of waiting for the
/// first event, which the caller notices most.
constexpr auto cost_per_event_ms = 0.00004;

} // namespace

auto placement::upstream_speeds() -> upstream_speed::service_speeds&
{
    return this->speeds;
}

auto placement::track_speeds() -> void
{
    auto keys = std::vector<upstream_speed::upstream_key>();
    keys.reserve(this->upstreams.size());
    for (auto& [id, state] : this->upstreams) {
        state.speed_index = keys.size();
        keys.push_back({id, state.known.upstream.started_ms});
    }
    this->speeds.set_upstreams(keys);
}

auto placement::record_start(const running_request& run, core::time_point now)
    -> void
{
    const auto ms =
        std::chrono::duration<double, std::milli>(now - run.placed_at).count();
    const auto tokens = run.tokens_before_start;
    const auto state = this->upstreams.find(run.upstream);
    if (!this->speeds.is_enabled() || state == this->upstreams.end()) {
        this->prefill.record(tokens, ms);
        return;
    }
    const auto index = state->second.speed_index;
    const auto& speed = this->speeds.at(index);
    // The statement of the response itself is known by now.
    const auto quick = (run.quick_part + speed.quick_part(now)) / 2.0;
    this->prefill.record(tokens, ms / (speed.slow_part() * quick));
    const auto expected = this->prefill.expected_ms(tokens);
    if (this->prefill.samples() >= min_service_samples && expected > 0.0) {
        this->speeds.record(index, ms / quick / expected, now);
    }
}

auto placement::on_event_time(std::uint64_t ticket, core::duration mean,
                              core::time_point now) -> void
{
    const auto ms = std::chrono::duration<double, std::milli>(mean).count();
    const auto run = this->running.find(ticket);
    if (!this->speeds.is_enabled() || run == this->running.end() || ms <= 0.0) {
        return;
    }
    const auto state = this->upstreams.find(run->second.upstream);
    if (state == this->upstreams.end()) {
        return;
    }
    const auto index = state->second.speed_index;
    const auto usual_ms = ms / this->speeds.at(index).slow_part();
    this->event_ms =
        this->event_samples == 0
            ? usual_ms
            : this->event_ms + (usual_ms - this->event_ms) * event_time_weight;
    ++this->event_samples;
    if (this->event_samples >= min_service_samples) {
        this->speeds.record(index, ms / this->event_ms, now);
    }
}

auto placement::event_cost(const upstream_state& state,
                           const placement_request& request) const -> double
{
    // Statements hold for half a second, most of an answer comes later.
    const auto extra = this->speeds.at(state.speed_index).slow_part() - 1.0;
    return cost_per_event_ms * extra * this->event_ms *
           double(request.output_tokens);
}

} // namespace almondtiller::dispatch
