#include "rollout/version_gate.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace almondtiller::rollout {

namespace {

/// Credit is bounded because saved-up credit would be spent on consecutive
/// requests and overload the few new upstreams.
constexpr auto max_credit = 2.0;
/// Bad answers after which a node without a coordinator stops by itself.
constexpr auto max_bad_in_silence = std::uint32_t(5);

auto is_trial(phase current) -> bool
{
    return current == phase::observing || current == phase::loaded;
}

} // namespace

version_gate::version_gate(order roll_out, core::time_point now)
    : roll_out(std::move(roll_out)), credited_at(now)
{}

auto version_gate::apply(const directive& newer, std::uint32_t placers,
                         core::time_point now) -> void
{
    if (newer.number < this->newest.number || newer.number == 0) {
        return;
    }
    this->accrue(now);
    this->placers = std::max(placers, std::uint32_t(1));
    this->is_silent = false;
    this->bad_in_silence = 0;
    if (newer.number > this->newest.number) {
        this->newest = newer;
    }
}

auto version_gate::on_coordinator_silent() -> void
{
    this->is_silent = true;
}

auto version_gate::on_bad_answer() -> void
{
    if (this->is_silent) {
        ++this->bad_in_silence;
    }
}

auto version_gate::choose(core::time_point now) -> version_choice
{
    if (this->has_stopped()) {
        return version_choice::only_old;
    }
    if (!is_trial(this->newest.phase)) {
        return version_choice::only_new;
    }
    this->accrue(now);
    // The request itself adds its share when it is recorded.
    return this->credit + this->newest.share >= 1 ? version_choice::only_new
                                                  : version_choice::only_old;
}

auto version_gate::record_sent(bool is_new, core::time_point now) -> void
{
    this->accrue(now);
    if (!this->has_stopped() && is_trial(this->newest.phase)) {
        this->credit = std::min(this->credit + this->newest.share, max_credit);
    }
    if (is_new) {
        this->credit -= 1;
    }
}

auto version_gate::may_send(bool is_new) const -> bool
{
    if (is_new) {
        return !this->has_stopped();
    }
    return this->has_stopped() || is_trial(this->newest.phase);
}

auto version_gate::in_force() const -> const directive&
{
    return this->newest;
}

/// Adds the extra requests for the time since the last call.
auto version_gate::accrue(core::time_point now) -> void
{
    const auto elapsed = std::max(now - this->credited_at, core::duration(0));
    this->credited_at = now;
    if (this->has_stopped() || !is_trial(this->newest.phase)) {
        return;
    }
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    const auto extra = this->newest.extra_per_second * seconds;
    this->credit = std::min(this->credit + extra / this->placers, max_credit);
}

/// \return Whether nothing may go to the new version.
auto version_gate::has_stopped() const -> bool
{
    if (this->newest.number == 0 || this->newest.phase == phase::rolled_back) {
        return true;
    }
    if (this->newest.phase == phase::completed || !this->is_silent) {
        return false;
    }
    return is_trial(this->newest.phase) ||
           this->bad_in_silence >= max_bad_in_silence;
}

} // namespace almondtiller::rollout
