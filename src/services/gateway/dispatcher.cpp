#include "services/gateway/dispatcher.h"

#include <utility>

namespace almondtiller::gateway {

namespace {

/// Interval between checks of waiting work for cold windows, overdue calls and
/// expiry.
constexpr auto pump_interval = core::milliseconds(40);

} // namespace

dispatcher::dispatcher(event::loop& loop, const dispatch::serving_state& state,
                       http1::client_pool& calls, event_log& logger,
                       flow_metrics& counters,
                       dispatch::placement_limits limits,
                       verdict_hook on_verdict)
    : event_loop(loop),
      serving_state(state),
      stages(
          loop, state, calls, logger, counters,
          dispatch::stage_queue_limits{limits.has_fair_sharing},
          [this](const auto& part) { return this->usable(part); },
          [this]() { this->schedule_pump(); }, std::move(on_verdict)),
      placements(
          loop, state, logger, counters, limits,
          [this](const auto& part) { return this->usable(part); },
          [this]() { this->schedule_pump(); }),
      pump_timer(loop, [this]() { this->pump(); })
{}

auto dispatcher::usable(const dispatch::shard& part) const
    -> std::vector<dispatch::known_upstream>
{
    auto upstreams = this->serving_state.usable(part);
    if (!this->owner_check || this->owner_check(part)) {
        return upstreams;
    }
    // Several nodes may stand in for an owner that they cannot reach. A request
    // limit and the rate of a cold upstream hold for the sum of what all nodes
    // send.
    const auto* service = this->serving_state.find_service(part.service);
    const auto has_cold_rate = service != nullptr && service->cold_rate > 0;
    const auto now = this->event_loop.now();
    std::erase_if(upstreams, [has_cold_rate, now](const auto& known) {
        return known.request_limit.has_value() ||
               (has_cold_rate && known.cold_until() > now);
    });
    return upstreams;
}

auto dispatcher::refresh() -> void
{
    this->stages.refresh();
    this->placements.refresh();
    this->schedule_pump();
}

auto dispatcher::schedule_pump() -> void
{
    if (!std::exchange(this->is_scheduled, true)) {
        this->pump_timer.start(core::milliseconds(0));
    }
}

auto dispatcher::pump() -> void
{
    this->is_scheduled = false;
    const auto has_stages = this->stages.pump();
    const auto has_requests = this->placements.pump();
    if (has_stages || has_requests) {
        this->pump_timer.start(pump_interval);
    }
}

auto dispatcher::submit_stage(const serving::service_name& service,
                              dispatch::stage_work work, stage_done done)
    -> std::uint64_t
{
    const auto ticket = ++this->last_ticket;
    return this->stages.submit(service, ticket, std::move(work),
                               std::move(done))
               ? ticket
               : 0;
}

auto dispatcher::cancel_stage(const serving::service_name& service,
                              std::uint64_t ticket) -> void
{
    this->stages.cancel(service, ticket);
}

auto dispatcher::free_results(const serving::service_name& service,
                              const std::vector<std::string>& handles) -> void
{
    this->stages.free_results(service, handles);
}

auto dispatcher::submit_placement(place_message message,
                                  const core::node_id& origin, place_done done)
    -> void
{
    this->placements.submit(std::move(message), ++this->last_ticket, origin,
                            std::move(done));
}

auto dispatcher::cancel_placement(const serving::service_name& service,
                                  const core::request_id& request) -> void
{
    this->placements.cancel(service, request);
}

auto dispatcher::set_leaving_hook(
    std::function<void(const core::upstream_id&)> hook) -> void
{
    this->leaving_hook = std::move(hook);
}

auto dispatcher::set_limit_hook(std::function<void(const limit_report&)> hook)
    -> void
{
    this->limit_hook = std::move(hook);
}

auto dispatcher::set_owner_check(
    std::function<bool(const dispatch::shard&)> check) -> void
{
    this->owner_check = std::move(check);
    this->stages.set_owner_check(this->owner_check);
}

auto dispatcher::set_rollouts(rollout::rollout_service* rollouts) -> void
{
    this->stages.set_rollouts(rollouts);
    this->placements.set_rollouts(rollouts);
}

auto dispatcher::held_results(const serving::service_name& service,
                              const dispatch::upstream_rule& rule) const
    -> std::size_t
{
    return this->stages.held_results(service, rule);
}

auto dispatcher::report(const report_message& message) -> void
{
    if (!message.leaving.empty() && this->leaving_hook) {
        this->leaving_hook(message.leaving);
    }
    if (message.limit && this->limit_hook) {
        this->limit_hook(*message.limit);
    }
    if (message.speed &&
        this->serving_state.upstreams().contains(message.speed->upstream)) {
        this->enable_speeds();
        this->placements.record_speed(message.service, *message.speed);
    }
    this->placements.report(message);
}

auto dispatcher::enable_speeds() -> void
{
    this->has_speeds = true;
    this->stages.enable_speeds();
    this->placements.enable_speeds();
    this->enable_room_reports();
}

auto dispatcher::enable_room_reports() -> void
{
    this->stages.enable_room_reports();
}

auto dispatcher::uses_speeds() const -> bool
{
    return this->has_speeds;
}

auto dispatcher::loads() const -> std::vector<service_load>
{
    auto by_service = std::map<serving::service_name, service_load>();
    this->stages.add_loads(by_service);
    this->placements.add_loads(by_service);
    auto loads = std::vector<service_load>();
    for (const auto& [name, load] : by_service) {
        loads.push_back(load);
    }
    return loads;
}

auto dispatcher::cancel_work_of(const core::node_id& origin) -> void
{
    this->placements.cancel_work_of(origin);
}

} // namespace almondtiller::gateway
