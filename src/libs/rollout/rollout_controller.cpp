#include "rollout/rollout_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace almondtiller::rollout {

namespace {

/// A coordinator decides without the nodes that have not reported by then.
constexpr auto ready_after = core::milliseconds(1000);
/// A version with a smaller part of the old slots is not promoted.
constexpr auto least_room = 0.75;
/// Answers that end the phase observing, and that the phase loaded needs.
constexpr auto observed_answers = std::uint64_t(20);
constexpr auto loaded_answers = std::uint64_t(30);
/// Upstreams that restart all at once are back within this time.
constexpr auto upstream_absence = core::milliseconds(2000);
/// Log ratio of all routes together that keeps a version from promotion. The
/// promotion gives more evidence, after which any positive ratio decides.
constexpr auto promotion_margin = 2.5;
/// Requests without any answer that make a version suspect.
constexpr auto unanswered_requests = std::uint64_t(10);

auto is_end(phase current) -> bool
{
    return current == phase::completed || current == phase::rolled_back;
}

} // namespace

rollout_controller::rollout_controller(order roll_out, exposure_limits limits,
                                       core::time_point now)
    : roll_out(std::move(roll_out)),
      limits(limits),
      created(now),
      started(now),
      phase_since(now)
{}

auto rollout_controller::on_report(node_report report, core::time_point now)
    -> void
{
    this->started = std::min(this->started, now - report.order_age);
    const auto applied = report.applied;
    const auto counted = this->ledger.take(std::move(report));
    if (!counted) {
        return;
    }
    this->seen.add(*counted, now);
    this->adopt(applied, now);
}

/// Continues from a directive of another coordinator.
auto rollout_controller::adopt(const rollout::directive& applied,
                               core::time_point now) -> void
{
    auto& own = this->current.directive;
    if (applied.number < own.number || applied == own) {
        return;
    }
    const auto keeps_own =
        is_end(own.phase) || applied.phase < own.phase ||
        (applied.number == own.number && applied.phase == own.phase);
    if (keeps_own) {
        own.number = applied.number + 1;
        return;
    }
    if (applied.phase != own.phase) {
        this->phase_since = now;
        this->answers_before_load = this->seen.new_answers();
    }
    own = applied;
    this->describe({"", "adopted"}, now);
    this->plan.reset();
    if (own.phase == phase::promoting) {
        this->seen.on_promoted();
    }
}

auto rollout_controller::set_alive(const std::set<core::node_id>& alive) -> void
{
    this->alive = alive;
}

auto rollout_controller::set_room(const version_room& room) -> void
{
    this->room = room;
}

auto rollout_controller::decide(core::time_point now) -> decision
{
    this->current.evidence.time_left =
        this->roll_out.duration - (now - this->started);
    if (!this->is_ready(now) || is_end(this->current.directive.phase)) {
        return this->current;
    }
    if (this->current.directive.phase == phase::promoting) {
        this->decide_promotion(now);
    } else {
        this->decide_trial(now);
    }
    return this->current;
}

auto rollout_controller::is_ready(core::time_point now) const -> bool
{
    return now - this->created >= ready_after ||
           (!this->alive.empty() && this->ledger.has_all(this->alive));
}

/// \return The schedule for what is known about the old work at an age.
auto rollout_controller::schedule(core::duration age) const -> phase_schedule
{
    const auto totals = this->ledger.totals();
    const auto sent_old = totals.sent - std::min(totals.sent, totals.sent_new);
    auto old_work = this->seen.longest_old_work();
    if (sent_old > 0 && this->current.directive.phase != phase::promoting) {
        // Little's law gives the mean time of work that has not ended yet.
        const auto open = double(this->ledger.open_at_old(this->alive));
        const auto mean =
            std::chrono::duration<double>(age) * open / double(sent_old);
        old_work = std::max(old_work,
                            std::chrono::duration_cast<core::duration>(mean));
    }
    return make_schedule(this->roll_out.duration, old_work, this->alive.size());
}

auto rollout_controller::has_room() const -> bool
{
    return this->room.new_upstreams > 0 &&
           double(this->room.new_slots) >=
               least_room * double(this->room.old_slots);
}

/// \return Whether no node has or can get work at an old upstream.
auto rollout_controller::is_drained() const -> bool
{
    const auto is_node_drained = [this](const core::node_id& node) {
        const auto* report = this->ledger.latest(node);
        return report != nullptr && report->open_at_old == 0 &&
               report->applied == this->current.directive;
    };
    return !this->alive.empty() &&
           std::ranges::all_of(this->alive, is_node_drained);
}

auto rollout_controller::has_load_samples() const -> bool
{
    return this->seen.new_answers() >=
           this->answers_before_load + loaded_answers;
}

auto rollout_controller::decide_trial(core::time_point now) -> void
{
    const auto age = now - this->started;
    const auto times = this->schedule(age);
    const auto number = this->current.directive.number;
    if (number == 0) {
        this->enter(phase::observing, {"", "start"}, now);
    }
    if (const auto bad = this->seen.rejection()) {
        this->enter(phase::rolled_back, *bad, now);
        return;
    }
    if (this->room.new_upstreams == 0) {
        if (age >= times.ended_by) {
            this->enter(phase::rolled_back, {"", "no_upstream"}, now);
        }
        return;
    }
    if (age >= times.promoted_by) {
        this->decide_at_latest(now);
        return;
    }
    const auto is_observing = this->current.directive.phase == phase::observing;
    const auto is_sampled = age >= times.observed_from &&
                            this->seen.new_answers() >= observed_answers;
    if (is_observing && (is_sampled || age >= times.observed_by)) {
        this->answers_before_load = this->seen.new_answers();
        this->enter(phase::loaded, {"", "samples"}, now);
    } else if (!is_observing && age >= times.promoted_from &&
               this->has_load_samples() && this->seen.is_accepted() &&
               !this->seen.likely_bad(0) && this->has_room()) {
        this->enter(phase::promoting, {"", "accepted"}, now);
        return;
    }
    this->adjust_share(this->current.directive.number != number, now);
}

/// Decides by the more likely side when no time is left for more samples.
auto rollout_controller::decide_at_latest(core::time_point now) -> void
{
    this->seen.test_waiting();
    const auto totals = this->ledger.totals();
    const auto is_unanswered =
        totals.sent_new >= unanswered_requests && this->seen.new_answers() == 0;
    if (!this->has_room()) {
        this->enter(phase::rolled_back, {"", "no_room"}, now);
    } else if (const auto bad = this->seen.likely_bad(promotion_margin)) {
        this->enter(phase::rolled_back, {bad->route, "deadline"}, now);
    } else if (is_unanswered) {
        this->enter(phase::rolled_back, {"", "deadline"}, now);
    } else {
        const auto* reason = this->seen.is_accepted() ? "accepted" : "deadline";
        this->enter(phase::promoting, {"", reason}, now);
    }
}

auto rollout_controller::decide_promotion(core::time_point now) -> void
{
    if (const auto bad = this->seen.rejection()) {
        this->enter(phase::rolled_back, *bad, now);
        return;
    }
    if (this->room.new_upstreams > 0) {
        this->without_upstream_since.reset();
    } else if (!this->without_upstream_since) {
        this->without_upstream_since = now;
    } else if (now - *this->without_upstream_since >= upstream_absence) {
        this->enter(phase::rolled_back, {"", "no_room"}, now);
        return;
    }
    const auto age = now - this->started;
    const auto times = this->schedule(age);
    const auto must_end = age >= times.ended_by;
    const auto is_watched = now - this->phase_since >= times.watched;
    const auto bad = this->seen.likely_bad(0);
    if (must_end && bad) {
        this->enter(phase::rolled_back, {bad->route, "deadline"}, now);
        return;
    }
    const auto is_good = this->seen.is_accepted() && !bad && is_watched;
    const auto has_traffic = this->ledger.totals().sent > 0;
    if (this->is_drained() &&
        (must_end || is_good || (!has_traffic && is_watched))) {
        this->enter(phase::completed, {"", "drained"}, now);
    }
}

auto rollout_controller::enter(rollout::phase next, const finding& why,
                               core::time_point now) -> void
{
    auto& own = this->current.directive;
    ++own.number;
    own.phase = next;
    this->phase_since = now;
    this->plan.reset();
    this->is_halted = false;
    if (next == phase::promoting) {
        this->seen.on_promoted();
    }
    if (next != phase::observing && next != phase::loaded) {
        own.share = 0;
        own.extra_per_second = 0;
        own.upstreams = 0;
    }
    this->describe(why, now);
}

auto rollout_controller::describe(const finding& why, core::time_point now)
    -> void
{
    const auto totals = this->ledger.totals();
    auto told = evidence();
    told.route = why.route;
    told.reason = why.reason;
    told.sent = totals.sent;
    told.sent_new = totals.sent_new;
    told.time_left = this->roll_out.duration - (now - this->started);
    for (const auto& [name, route] : this->seen.routes()) {
        if (!why.route.empty() && name != why.route) {
            continue;
        }
        told.new_answers += std::uint64_t(route.failures().totals().answers);
        told.new_failed += std::uint64_t(route.failures().totals().bad);
        told.new_slow += std::uint64_t(route.slowness().totals().bad);
        told.old_answers += std::uint64_t(route.old_answers().answers);
        told.old_failed += std::uint64_t(route.old_answers().bad);
        told.slow_bound = std::max(told.slow_bound, route.slow_bound());
    }
    this->current.evidence = told;
}

} // namespace almondtiller::rollout
