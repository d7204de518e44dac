#include "routing/pool_scheduler.h"

#include "routing/pool_state.h"
#include "routing/routing_errc.h"

#include <algorithm>
#include <utility>

namespace almondtiller::routing {

namespace {

constexpr auto hedge_quantile = 0.95;
constexpr auto min_hedge_samples = 20.0;
/// Slots of cold upstreams are requested even with an empty queue while the
/// last attempt was submitted less than this long ago, to warm them up.
constexpr auto activity_window = core::duration(std::chrono::seconds(2));

} // namespace

struct pool_scheduler::state : pool_state
{
    using pool_state::pool_state;
};

pool_scheduler::pool_scheduler(const settings::pool_settings& settings,
                               core::zone_name local_zone, std::uint64_t seed)
    : impl(std::make_unique<state>(settings, std::move(local_zone), seed))
{}

pool_scheduler::~pool_scheduler() = default;
pool_scheduler::pool_scheduler(pool_scheduler&&) noexcept = default;
auto pool_scheduler::operator=(pool_scheduler&&) noexcept
    -> pool_scheduler& = default;

auto pool_scheduler::configure(const settings::pool_settings& settings,
                               core::time_point now) -> actions
{
    this->impl->now = now;
    this->impl->clear_blocked();
    this->impl->settings = settings;
    this->impl->queue.set_capacity(settings.queue_limit);
    this->impl->retries.set_ratio(settings.retry_ratio);
    this->impl->hedges.set_ratio(settings.hedge_ratio);
    this->impl->upstreams.configure(settings);
    return this->impl->process_queue();
}

auto pool_scheduler::set_members(const std::vector<upstream_member>& members,
                                 core::time_point now) -> actions
{
    this->impl->now = now;
    this->impl->clear_blocked();
    this->impl->upstreams.set_members(members);
    return this->impl->process_queue();
}

auto pool_scheduler::submit(attempt_request submitted, core::time_point now)
    -> actions
{
    this->impl->now = now;
    this->impl->last_submit = now;
    this->impl->refresh_quantiles();
    auto rejection = this->impl->admit(submitted);
    if (rejection.has_value()) {
        return {std::move(*rejection)};
    }
    auto displaced = this->impl->queue.push(std::move(submitted));
    auto taken = this->impl->process_queue();
    if (displaced.has_value()) {
        this->impl->reject_queued(
            *displaced,
            this->impl->make_rejection(*displaced, routing_errc::queue_full),
            taken);
    }
    return taken;
}

auto pool_scheduler::cancel(const core::attempt_id& id, core::time_point now)
    -> actions
{
    this->impl->now = now;
    auto cancelled = this->impl->queue.remove(id);
    auto taken = this->impl->process_queue();
    if (cancelled.has_value()) {
        this->impl->reject_queued(*cancelled, {id, routing_errc::withdrawn, {}},
                                  taken);
    }
    return taken;
}

auto pool_scheduler::finish(const attempt_result& result, core::time_point now)
    -> actions
{
    this->impl->now = now;
    this->impl->clear_blocked();
    auto finished = this->impl->running_attempts.extract(result.id);
    if (finished.empty()) {
        return this->impl->process_queue();
    }
    auto completed = result;
    completed.upstream = finished.mapped().upstream;
    this->impl->record(completed, finished.mapped());
    this->impl->upstreams.on_finish(completed, this->impl->median, now);
    return this->impl->process_queue();
}

auto pool_scheduler::report_load(const load_report& report,
                                 core::time_point now) -> actions
{
    this->impl->now = now;
    this->impl->clear_blocked();
    this->impl->upstreams.on_report(report, now);
    return this->impl->process_queue();
}

auto pool_scheduler::apply_cache_hint(const cache_hint& hint) -> void
{
    this->impl->upstreams.on_cache_hint(hint);
}

auto pool_scheduler::grant_cold_slots(const cold_grant& grant,
                                      core::time_point now) -> actions
{
    this->impl->now = now;
    this->impl->clear_blocked();
    this->impl->upstreams.on_grant(grant);
    return this->impl->process_queue();
}

auto pool_scheduler::deny_cold_slots(const core::upstream_id& id,
                                     core::duration retry_after,
                                     core::time_point now) -> actions
{
    this->impl->now = now;
    this->impl->upstreams.on_denial(id, now + retry_after);
    return this->impl->process_queue();
}

auto pool_scheduler::apply_cold_notification(
    const cold_notification& notification, core::time_point now) -> actions
{
    this->impl->now = now;
    this->impl->upstreams.apply_notification(notification, now);
    return this->impl->process_queue();
}

auto pool_scheduler::take_cold_notifications() -> std::vector<cold_notification>
{
    return this->impl->upstreams.take_notifications();
}

auto pool_scheduler::advance(core::time_point now) -> actions
{
    this->impl->now = now;
    return this->impl->process_queue();
}

auto pool_scheduler::next_timer() const -> std::optional<core::time_point>
{
    const auto expiry = this->impl->queue.next_expiry();
    const auto probe = this->impl->upstreams.next_probe();
    if (!expiry.has_value() || !probe.has_value()) {
        return expiry;
    }
    return *probe > this->impl->now ? std::min(*expiry, *probe) : expiry;
}

auto pool_scheduler::cold_upstreams(core::time_point now) const
    -> std::vector<cold_upstream>
{
    const auto waiting = std::uint32_t(this->impl->queue.size());
    const auto is_active = now - activity_window < this->impl->last_submit;
    const auto wanted = is_active || waiting > 0 ? waiting + 1 : 0;
    return this->impl->upstreams.cold_upstreams(wanted, now);
}

auto pool_scheduler::cold_demand() const
    -> std::map<core::upstream_id, std::uint32_t>
{
    auto demand = std::map<core::upstream_id, std::uint32_t>();
    for (const auto& cold : this->cold_upstreams(this->impl->now)) {
        if (cold.wanted > 0) {
            demand.emplace(cold.id, cold.wanted);
        }
    }
    return demand;
}

auto pool_scheduler::estimate(double quantile) const -> core::duration
{
    return this->impl->latencies.quantile(quantile, this->impl->now);
}

auto pool_scheduler::hedge_delay() const -> std::optional<core::duration>
{
    const auto now = this->impl->now;
    if (this->impl->latencies.weight(now) < min_hedge_samples ||
        !this->impl->hedges.can_withdraw() ||
        !this->impl->retries.can_withdraw()) {
        return std::nullopt;
    }
    return this->impl->latencies.quantile(hedge_quantile, now);
}

auto pool_scheduler::queued() const -> std::size_t
{
    return this->impl->queue.size();
}

auto pool_scheduler::status(core::time_point now) const
    -> std::vector<upstream_status>
{
    return this->impl->upstreams.status(now);
}

} // namespace almondtiller::routing
