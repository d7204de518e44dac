#include "services/upstreams/pool_queue.h"

#include <algorithm>
#include <utility>

namespace almondtiller::services {

namespace {

/// How often a waiting thread looks whether its request was given up.
constexpr auto abandon_check_interval = core::milliseconds(50);
constexpr auto fast_quantile = 0.1;
constexpr auto typical_quantile = 0.5;
constexpr auto slow_quantile = 0.99;

auto id_of(const routing::action& taken) -> const core::attempt_id&
{
    return std::visit(
        [](const auto& value) -> const core::attempt_id& { return value.id; },
        taken);
}

} // namespace

pool_queue::pool_queue(const core::runtime_clock& clock,
                       const settings::pool_settings& settings,
                       const core::zone_name& local_zone, std::uint64_t seed,
                       notification_handler on_notification)
    : clock(clock),
      on_notification(std::move(on_notification)),
      scheduler(settings, local_zone, seed)
{}

auto pool_queue::configure(const settings::pool_settings& settings) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->apply(this->scheduler.configure(settings, this->clock.now()));
}

auto pool_queue::set_members(
    const std::vector<routing::upstream_member>& members) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    if (members == this->members) {
        return;
    }
    this->members = members;
    this->apply(this->scheduler.set_members(members, this->clock.now()));
}

auto pool_queue::await(routing::attempt_request submitted,
                       const std::function<bool()>& is_abandoned) -> decision
{
    auto lock = std::unique_lock(this->mutex);
    const auto id = submitted.id;
    auto waiting = waiter();
    this->waiters.emplace(id, &waiting);
    this->drop_useless_exclusions(submitted);
    this->apply(
        this->scheduler.submit(std::move(submitted), this->clock.now()));
    while (!waiting.outcome) {
        const auto until = this->clock.now() + abandon_check_interval;
        const auto ready =
            this->clock.wait_until(lock, waiting.decided, until, [&waiting] {
                return waiting.outcome.has_value();
            });
        if (!ready && is_abandoned && is_abandoned()) {
            this->apply(this->scheduler.cancel(id, this->clock.now()));
        }
    }
    return *waiting.outcome;
}

auto pool_queue::finish(const routing::attempt_result& result) -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->apply(this->scheduler.finish(result, this->clock.now()));
    }
    this->report_notifications();
}

auto pool_queue::report_notifications() -> void
{
    auto notifications = std::vector<routing::cold_notification>();
    {
        const auto guard = std::lock_guard(this->mutex);
        notifications = this->scheduler.take_cold_notifications();
    }
    for (const auto& notification : notifications) {
        this->on_notification(notification);
    }
}

auto pool_queue::apply_cold_notification(
    const routing::cold_notification& notification) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->apply(this->scheduler.apply_cold_notification(notification,
                                                        this->clock.now()));
}

auto pool_queue::report_load(const routing::load_report& report) -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        this->apply(this->scheduler.report_load(report, this->clock.now()));
    }
    this->report_notifications();
}

auto pool_queue::grant_cold_slots(const routing::cold_grant& grant) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->apply(this->scheduler.grant_cold_slots(grant, this->clock.now()));
}

auto pool_queue::deny_cold_slots(const core::upstream_id& id,
                                 core::duration retry_after) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->apply(
        this->scheduler.deny_cold_slots(id, retry_after, this->clock.now()));
}

auto pool_queue::advance() -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->apply(this->scheduler.advance(this->clock.now()));
}

auto pool_queue::next_timer() const -> std::optional<core::time_point>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->scheduler.next_timer();
}

auto pool_queue::cold_demand() const
    -> std::map<core::upstream_id, std::uint32_t>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->scheduler.cold_demand();
}

auto pool_queue::cold_upstreams() const -> std::vector<routing::cold_upstream>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->scheduler.cold_upstreams(this->clock.now());
}

auto pool_queue::estimate() const -> pipeline::stage_estimate
{
    const auto guard = std::lock_guard(this->mutex);
    return {this->scheduler.estimate(fast_quantile),
            this->scheduler.estimate(typical_quantile),
            this->scheduler.estimate(slow_quantile)};
}

auto pool_queue::view() const -> pool_view
{
    const auto guard = std::lock_guard(this->mutex);
    return {this->scheduler.status(this->clock.now()),
            this->scheduler.queued()};
}

auto pool_queue::apply(const routing::actions& taken) -> void
{
    for (const auto& action : taken) {
        const auto found = this->waiters.find(id_of(action));
        if (found == this->waiters.end()) {
            continue;
        }
        std::visit(
            [found](const auto& value) { found->second->outcome = value; },
            action);
        found->second->decided.notify_one();
        this->waiters.erase(found);
    }
}

/// An attempt that excludes every upstream would wait in vain.
auto pool_queue::drop_useless_exclusions(
    routing::attempt_request& submitted) const -> void
{
    const auto is_usable = [&submitted](const auto& member) {
        return member.accepts_work &&
               std::ranges::find(submitted.excluded, member.id) ==
                   submitted.excluded.end();
    };
    if (!std::ranges::any_of(this->members, is_usable)) {
        submitted.excluded.clear();
    }
}

} // namespace almondtiller::services
