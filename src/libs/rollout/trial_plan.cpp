#include "rollout/trial_plan.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace almondtiller::rollout {

namespace {

/// Parts of the bounds that a trial uses. The rest covers what is sent between
/// a report and the directive that follows from it, and the promotion.
constexpr auto used_share = 0.8;
constexpr auto used_slack = 0.5;
/// Requests per route that accept a version without a bad answer, with some
/// that are cold or go to a busy zone.
constexpr auto needed_samples = 100.0;
/// Part of the duration in which the samples are collected.
constexpr auto sampling_part = 0.6;
/// Part of the permitted rate that is spent before bursts.
constexpr auto saving_part = 0.25;
/// Part of the permitted rate that is spent otherwise.
constexpr auto steady_part = 0.95;
/// The old version keeps enough of a small service to compare with.
constexpr auto largest_share = 0.8;
/// A service that sends less than the slack in this time is tried by share
/// only. Its traffic may then grow tenfold for a second before a directive
/// follows.
constexpr auto rare_seconds = 10.0;

auto seconds(core::duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

auto upstreams_for(double rate, double load, const version_room& room)
    -> std::uint32_t
{
    const auto wanted = std::uint32_t(std::ceil(rate / load - 0.01));
    return std::clamp(wanted, 1U, std::max(room.new_upstreams, 1U));
}

auto unknown_rate_plan(const trial_inputs& inputs, double slack_rate)
    -> trial_plan
{
    const auto load = 1.0 / std::max(inputs.room.old_upstreams, 1U);
    const auto share = used_share * inputs.limits.share;
    const auto part = load > share ? saving_part : steady_part;
    return {share * part, slack_rate * steady_part,
            upstreams_for(share, load, inputs.room), 0, false};
}

} // namespace

auto plan_trial(const trial_inputs& inputs) -> trial_plan
{
    const auto length = std::max(seconds(inputs.duration), 1.0);
    const auto slack_rate = used_slack * inputs.limits.slack / length;
    if (inputs.rate <= 0) {
        return unknown_rate_plan(inputs, slack_rate);
    }
    const auto allowed =
        used_share * inputs.limits.share * inputs.rate + slack_rate;
    const auto load = inputs.rate / std::max(inputs.room.old_upstreams, 1U);
    const auto largest =
        std::min(largest_share * inputs.rate, inputs.room.new_upstreams * load);
    const auto saves = std::min(load, largest) > allowed;
    if (saves && inputs.is_loaded) {
        const auto rate = std::min(load, largest);
        return {rate / inputs.rate, 0, 1, rate, true};
    }
    const auto needed =
        needed_samples * double(inputs.routes) / (sampling_part * length);
    // As many upstreams as the permitted rate loads fully.
    const auto full = std::floor(steady_part * allowed / load) * load;
    const auto wanted = inputs.is_loaded ? full : std::max(load, needed);
    const auto rate =
        saves ? saving_part * allowed
              : std::min({std::max(wanted, std::min(needed, allowed)),
                          steady_part * allowed, largest});
    // Nodes that seldom send can't use a rate that is divided among them.
    const auto is_rare = inputs.rate * rare_seconds <= inputs.limits.slack;
    const auto extra = is_rare ? 0 : std::min(rate, slack_rate);
    return {(rate - extra) / inputs.rate, extra,
            upstreams_for(rate, load, inputs.room), rate, false};
}

auto allowed_requests(const exposure_limits& limits, const sent_totals& totals,
                      core::duration age, core::duration duration) -> double
{
    const auto part =
        std::clamp(seconds(age) / std::max(seconds(duration), 1.0), 0.0, 1.0);
    return used_share * limits.share * double(totals.sent) +
           used_slack * limits.slack * part;
}

} // namespace almondtiller::rollout
