#include "rollout/rollout_controller.h"

#include <algorithm>
#include <chrono>

namespace almondtiller::rollout {

namespace {

/// Smaller changes of a plan cause no directive, because each one is logged.
constexpr auto least_change = 0.3;
/// A node sends for one interval, half of the report delay, between a report
/// and the directive in its response; with some time for the way.
constexpr auto unreported_part = 0.6;
/// Room for a burst, as a multiple of what is sent before it can be ended.
constexpr auto restart_factor = 1.25;

} // namespace

/// Follows the traffic, and halts the trial before it exceeds its part.
auto rollout_controller::adjust_share(bool is_entered, core::time_point now)
    -> void
{
    const auto age = now - this->started;
    const auto delay = this->schedule(age).report_delay;
    const auto seconds = std::chrono::duration<double>(age).count();
    auto inputs = trial_inputs();
    inputs.limits = this->limits;
    inputs.room = this->room;
    inputs.duration = this->roll_out.duration;
    inputs.rate =
        age < delay ? 0 : double(this->ledger.totals().sent) / seconds;
    inputs.routes = std::max(this->seen.routes().size(), std::size_t(1));
    inputs.is_loaded = this->current.directive.phase == phase::loaded;
    auto wanted = plan_trial(inputs);
    const auto must_halt = this->must_halt(wanted, age, delay);
    if (must_halt) {
        wanted = trial_plan{0, 0, wanted.upstreams, 0, false};
    }
    const auto is_close =
        this->plan && wanted.is_burst == this->plan->is_burst &&
        wanted.rate <= this->plan->rate * (1 + least_change) &&
        wanted.rate >= this->plan->rate * (1 - least_change) &&
        wanted.upstreams <= this->plan->upstreams * (1 + least_change) &&
        wanted.upstreams >= this->plan->upstreams * (1 - least_change);
    if (is_close) {
        return;
    }
    auto& own = this->current.directive;
    this->plan = wanted;
    this->is_halted = must_halt;
    if (own.share == wanted.share && own.upstreams == wanted.upstreams &&
        own.extra_per_second == wanted.extra_per_second) {
        return;
    }
    own.share = wanted.share;
    own.extra_per_second = wanted.extra_per_second;
    own.upstreams = wanted.upstreams;
    if (!is_entered) {
        ++own.number;
        this->describe({"", must_halt ? "exposure" : "load"}, now);
    }
}

/// \return Whether a plan would exceed the permitted requests before another
///         directive has an effect. A plan that is not in force needs some more
///         room, so that it is not halted at once.
auto rollout_controller::must_halt(const trial_plan& wanted, core::duration age,
                                   core::duration delay) const -> bool
{
    const auto totals = this->ledger.totals();
    const auto allowed =
        allowed_requests(this->limits, totals, age, this->roll_out.duration);
    const auto until_effect =
        wanted.is_burst ? wanted.rate * unreported_part *
                              std::chrono::duration<double>(delay).count()
                        : 0;
    const auto is_bursting = this->plan && this->plan->is_burst;
    const auto begins = this->is_halted || (wanted.is_burst && !is_bursting);
    const auto needed =
        begins ? std::max(until_effect * restart_factor, 1.0) : until_effect;
    return double(totals.sent_new) + needed > allowed;
}

} // namespace almondtiller::rollout
