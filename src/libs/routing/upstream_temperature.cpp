#include "routing/upstream_temperature.h"

#include <algorithm>

namespace almondtiller::routing {

namespace {

constexpr auto max_past_incarnations = std::size_t(4);
/// A report older than this does not turn the upstream warm.
constexpr auto max_report_age = core::duration(std::chrono::seconds(5));
constexpr auto max_ramp = 1U << 20U;
constexpr auto slow_ratio = 4.0;
constexpr auto slow_margin_seconds = 0.02;
constexpr auto slow_responses_to_cold = 3U;
constexpr auto baseline_gain = 0.05;
constexpr auto baseline_samples_needed = 16U;

} // namespace

upstream_temperature::upstream_temperature(limits bounds) : bounds(bounds)
{}

auto upstream_temperature::set_limits(limits bounds) -> void
{
    this->bounds = bounds;
}

auto upstream_temperature::mark_cold(cold_reason why, core::time_point now)
    -> void
{
    this->cold = true;
    this->why = why;
    this->last_change = now;
    this->warm_up_completions = 0;
    this->slow_responses = 0;
}

auto upstream_temperature::mark_warm(core::time_point now) -> void
{
    this->cold = false;
    this->last_change = now;
    this->slow_responses = 0;
    this->ramp_limit = std::max(this->bounds.cold_capacity, 1U);
}

// A message with a former incarnation was in transit when the upstream
// restarted; it does not describe the process that runs now.
auto upstream_temperature::update_incarnation(const std::string& seen,
                                              core::time_point now) -> bool
{
    if (seen.empty() || seen == this->current_incarnation) {
        return true;
    }
    if (std::ranges::find(this->past_incarnations, seen) !=
        this->past_incarnations.end()) {
        return false;
    }
    if (this->current_incarnation.empty()) {
        this->current_incarnation = seen;
        return true;
    }
    this->past_incarnations.push_back(this->current_incarnation);
    if (this->past_incarnations.size() > max_past_incarnations) {
        this->past_incarnations.erase(this->past_incarnations.begin());
    }
    this->current_incarnation = seen;
    this->baseline_samples = 0;
    this->mark_cold(cold_reason::new_incarnation, now);
    return true;
}

auto upstream_temperature::apply_silence_timeout(core::time_point now) -> void
{
    if (!this->cold && this->is_cold(now)) {
        this->mark_cold(cold_reason::silence, now);
    }
}

auto upstream_temperature::observe(const load_report& report,
                                   core::time_point now) -> void
{
    this->apply_silence_timeout(now);
    if (!this->update_incarnation(report.incarnation, now)) {
        return;
    }
    const auto sampled = now - report.age;
    this->last_contact = std::max(this->last_contact, sampled);
    if (report.cold) {
        // Reports lag: one sampled before the last change is outdated.
        if (sampled >= this->last_change) {
            this->mark_cold(cold_reason::reported, sampled);
        }
        return;
    }
    const auto trusts_report = this->why == cold_reason::not_seen_before ||
                               this->why == cold_reason::silence ||
                               this->why == cold_reason::reported ||
                               this->why == cold_reason::unreachable;
    if (this->cold && trusts_report && !report.incarnation.empty() &&
        report.age <= max_report_age && sampled > this->last_change) {
        this->mark_warm(now);
    }
}

auto upstream_temperature::observe(const attempt_result& result,
                                   core::time_point now) -> void
{
    this->apply_silence_timeout(now);
    if (!this->update_incarnation(result.incarnation, now)) {
        return;
    }
    if (!result.incarnation.empty() || result.end == attempt_end::succeeded) {
        this->last_contact = std::max(this->last_contact, now);
    }
    if (result.reported_cold) {
        this->mark_cold(cold_reason::reported, now);
        return;
    }
    if (result.end == attempt_end::succeeded) {
        this->observe_completion(result, now);
    } else if (result.end == attempt_end::not_sent && !this->cold) {
        this->mark_cold(cold_reason::unreachable, now);
    } else if (result.end == attempt_end::timed_out && !this->cold) {
        this->observe_slowness(now);
    }
}

auto upstream_temperature::observe(const cold_notification& notification,
                                   core::time_point now) -> void
{
    this->apply_silence_timeout(now);
    if (this->update_incarnation(notification.incarnation, now) &&
        !this->cold) {
        this->mark_cold(notification.reason, now);
    }
}

auto upstream_temperature::observe_completion(const attempt_result& result,
                                              core::time_point now) -> void
{
    if (this->cold) {
        const auto sent_while_cold =
            this->last_change == core::time_point::min() ||
            now - result.latency >= this->last_change;
        this->warm_up_completions += sent_while_cold ? 1U : 0U;
        if (this->warm_up_completions >= this->bounds.warm_completions) {
            this->mark_warm(now);
        }
        return;
    }
    this->ramp_limit = std::min(this->ramp_limit + 1, max_ramp);
    const auto observed = std::chrono::duration<double>(result.latency).count();
    const auto is_known = this->baseline_samples >= baseline_samples_needed;
    if (is_known &&
        observed > slow_ratio * this->baseline_seconds + slow_margin_seconds) {
        this->observe_slowness(now);
        return;
    }
    this->slow_responses = 0;
    const auto gain =
        is_known ? baseline_gain : 1.0 / double(this->baseline_samples + 1);
    this->baseline_seconds += gain * (observed - this->baseline_seconds);
    this->baseline_samples += is_known ? 0U : 1U;
}

auto upstream_temperature::observe_slowness(core::time_point now) -> void
{
    ++this->slow_responses;
    if (this->slow_responses >= slow_responses_to_cold) {
        this->mark_cold(cold_reason::slow_responses, now);
    }
}

auto upstream_temperature::is_cold(core::time_point now) const -> bool
{
    return this->cold ||
           now - this->last_contact >= this->bounds.silence_until_cold;
}

auto upstream_temperature::reason(core::time_point now) const -> cold_reason
{
    if (!this->cold && this->is_cold(now)) {
        return cold_reason::silence;
    }
    return this->why;
}

auto upstream_temperature::ramp() const -> std::uint32_t
{
    return this->ramp_limit;
}

auto upstream_temperature::incarnation() const -> const std::string&
{
    return this->current_incarnation;
}

} // namespace almondtiller::routing
