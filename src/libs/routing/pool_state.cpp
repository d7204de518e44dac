#include "routing/pool_state.h"

#include <algorithm>
#include <utility>

namespace almondtiller::routing {

namespace {

constexpr auto cost_gain = 0.05;
constexpr auto shortest_retry_after = core::duration(core::milliseconds(50));
constexpr auto longest_retry_after = core::duration(std::chrono::seconds(5));
constexpr auto no_upstream_retry_after =
    core::duration(std::chrono::seconds(1));
/// How long the blocked state lasts without an event. This bounds the delay in
/// detecting capacity that becomes free by time alone, such as for probes.
constexpr auto blocked_lifetime = core::duration(std::chrono::milliseconds(5));
constexpr auto quantiles_lifetime =
    core::duration(std::chrono::milliseconds(10));

auto cost_of(const attempt_result& result) -> double
{
    const auto elapsed = std::chrono::duration<double>(result.latency);
    return result.cost > 0.0 ? result.cost : elapsed.count();
}

} // namespace

pool_state::pool_state(const settings::pool_settings& settings,
                       core::zone_name local_zone, std::uint64_t seed)
    : settings(settings),
      upstreams(settings, std::move(local_zone), seed),
      queue(settings.queue_limit),
      retries(settings.retry_ratio),
      hedges(settings.hedge_ratio)
{}

auto pool_state::refresh_quantiles() -> void
{
    if (this->now - quantiles_lifetime < this->quantiles_at) {
        return;
    }
    this->quantiles_at = this->now;
    this->median = this->latencies.quantile(0.5, this->now);
    this->low_latency = this->latencies.quantile(0.1, this->now);
}

auto pool_state::expected_wait(double ahead) const -> core::duration
{
    const auto& sums = this->upstreams.summary(this->now);
    if (sums.capacity < 1.0) {
        return {};
    }
    const auto wait =
        std::chrono::duration<double>(this->median) * ahead / sums.capacity;
    return std::chrono::duration_cast<core::duration>(wait);
}

auto pool_state::retry_after() const -> core::duration
{
    const auto wait = this->expected_wait(double(this->queue.size()));
    return std::clamp(wait, shortest_retry_after, longest_retry_after);
}

auto pool_state::make_rejection(const attempt_request& item,
                                routing_errc why) const -> rejection
{
    return {item.id, why, this->retry_after()};
}

auto pool_state::attempts_running(const core::workspace_name& workspace) const
    -> std::uint32_t
{
    const auto found = this->running_by_workspace.find(workspace);
    return found == this->running_by_workspace.end() ? 0 : found->second;
}

auto pool_state::is_over_limit(const attempt_request& item) const -> bool
{
    return this->queue.queued(item.workspace) +
               this->attempts_running(item.workspace) >=
           item.max_in_flight;
}

auto pool_state::cannot_meet_deadline(const attempt_request& item) const -> bool
{
    if (item.deadline - item.min_budget <= this->now) {
        return true;
    }
    if (this->running_attempts.empty()) {
        return false;
    }
    const auto ahead =
        this->queue.size() > 0 ? this->queue.attempts_ahead(item) + 1.0 : 0.0;
    const auto needed = std::max(item.min_budget, this->low_latency);
    return this->now + this->expected_wait(ahead) + needed > item.deadline;
}

auto pool_state::admit(const attempt_request& item) -> std::optional<rejection>
{
    if (item.deadline <= this->now) {
        return this->make_rejection(item, routing_errc::deadline_passed);
    }
    if (this->settings.queue_limit == 0) {
        return this->make_rejection(item, routing_errc::queue_full);
    }
    if (this->upstreams.summary(this->now).accepting == 0) {
        return rejection{item.id, routing_errc::no_upstream,
                         no_upstream_retry_after};
    }
    if (this->is_over_limit(item)) {
        return this->make_rejection(item, routing_errc::workspace_limit);
    }
    if (this->cannot_meet_deadline(item)) {
        return this->make_rejection(item, routing_errc::deadline_unreachable);
    }
    return this->charge_budget(item);
}

auto pool_state::charge_budget(const attempt_request& item)
    -> std::optional<rejection>
{
    if (item.reason == attempt_reason::hedge &&
        !(this->retries.can_withdraw() && this->hedges.try_withdraw())) {
        return this->make_rejection(item, routing_errc::hedge_budget_spent);
    }
    if (item.reason != attempt_reason::first && !this->retries.try_withdraw()) {
        return this->make_rejection(item, routing_errc::retry_budget_spent);
    }
    return std::nullopt;
}

auto pool_state::refund_budget(const attempt_request& item) -> void
{
    if (item.reason == attempt_reason::hedge) {
        this->hedges.refund();
    }
    if (item.reason != attempt_reason::first) {
        this->retries.refund();
    }
}

auto pool_state::reject_queued(const attempt_request& item, rejection why,
                               actions& taken) -> void
{
    this->refund_budget(item);
    taken.emplace_back(std::move(why));
}

auto pool_state::reject_expired(actions& taken) -> void
{
    const auto all_cold = this->upstreams.summary(this->now).warm == 0;
    for (const auto& item : this->queue.take_expired(this->now)) {
        auto why = item.deadline <= this->now
                       ? routing_errc::deadline_passed
                       : routing_errc::deadline_unreachable;
        if (all_cold) {
            why = routing_errc::upstream_cold;
        }
        this->reject_queued(item, this->make_rejection(item, why), taken);
    }
}

auto pool_state::reject_unservable(actions& taken) -> void
{
    const auto& sums = this->upstreams.summary(this->now);
    if (sums.accepting == 0) {
        for (const auto& item : this->queue.take_all()) {
            this->reject_queued(
                item,
                {item.id, routing_errc::no_upstream, no_upstream_retry_after},
                taken);
        }
        return;
    }
    if (sums.warm > 0 || sums.cold_slots > 0 ||
        !sums.next_cold_slot.has_value()) {
        return;
    }
    const auto next = *sums.next_cold_slot;
    for (const auto& item : this->queue.take_expired(next)) {
        const auto wait = std::max(next - this->now, shortest_retry_after);
        this->reject_queued(item, {item.id, routing_errc::upstream_cold, wait},
                            taken);
    }
}

auto pool_state::start_attempt(attempt_request item, dispatch chosen,
                               actions& taken) -> void
{
    this->upstreams.on_dispatch(chosen.upstream);
    ++this->running_by_workspace[item.workspace];
    if (item.reason == attempt_reason::first) {
        this->retries.deposit();
        this->hedges.deposit();
    }
    auto id = item.id;
    this->running_attempts.insert_or_assign(
        std::move(id),
        running_attempt{std::move(item), chosen.upstream, this->average_cost});
    taken.emplace_back(std::move(chosen));
}

auto pool_state::place(const attempt_request& item,
                       std::optional<dispatch>& chosen) -> placement
{
    chosen = this->upstreams.choose(item, this->median, this->now);
    if (chosen.has_value()) {
        return placement::placed;
    }
    if (!item.excluded.empty()) {
        return placement::skipped;
    }
    this->blocked_at = this->now;
    return placement::blocked;
}

auto pool_state::clear_blocked() -> void
{
    this->blocked_at.reset();
}

auto pool_state::is_blocked() const -> bool
{
    return this->blocked_at.has_value() &&
           this->now < *this->blocked_at + blocked_lifetime;
}

auto pool_state::process_queue() -> actions
{
    auto taken = actions();
    this->refresh_quantiles();
    this->reject_expired(taken);
    while (this->queue.size() > 0 && !this->is_blocked()) {
        auto chosen = std::optional<dispatch>();
        const auto offer = [this, &chosen](const attempt_request& item) {
            return this->place(item, chosen);
        };
        auto item = this->queue.take_next(offer, this->average_cost);
        if (!item.has_value()) {
            break;
        }
        this->start_attempt(std::move(*item), std::move(*chosen), taken);
    }
    if (this->queue.size() > 0) {
        this->reject_unservable(taken);
    }
    return taken;
}

auto pool_state::record(const attempt_result& result,
                        const running_attempt& ended) -> void
{
    const auto is_observation = result.end == attempt_end::succeeded ||
                                result.end == attempt_end::timed_out;
    if (is_observation) {
        this->latencies.record(result.latency, this->now);
    }
    const auto measured = cost_of(result);
    this->queue.charge(ended.item, measured - ended.charged);
    if (result.end == attempt_end::succeeded) {
        this->average_cost += cost_gain * (measured - this->average_cost);
    }
    auto running_count = this->running_by_workspace.find(ended.item.workspace);
    if (--running_count->second == 0) {
        this->running_by_workspace.erase(running_count);
    }
}

} // namespace almondtiller::routing
