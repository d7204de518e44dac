#include "services/upstreams/upstreams_service.h"

#include "core/random.h"
#include "kernel/kernel.h"
#include "pipeline/pipeline_run.h"
#include "routing/routing_errc.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto max_timer_pause = core::milliseconds(100);
constexpr auto min_timer_pause = core::milliseconds(1);
constexpr auto no_upstream_retry_after = core::milliseconds(1000);

constexpr auto ends_info =
    core::metric_info{"almondtiller_attempts_total", core::metric_kind::counter,
                      "Attempts at upstreams by their end."};
constexpr auto defects_info = core::metric_info{
    "almondtiller_dropped_answers_total", core::metric_kind::counter,
    "Upstream answers that were not whole or not the attempt's own."};
constexpr auto cancels_info = core::metric_info{
    "almondtiller_cancellations_total", core::metric_kind::counter,
    "Attempts that upstreams were told to stop."};

auto state_name(const routing::upstream_status& upstream) -> const char*
{
    if (upstream.ejected) {
        return "ejected";
    }
    return upstream.cold ? "cold" : "warm";
}

/// A thread may have been paused between the decision and its dispatch.
/// \return Why nothing may be sent any more; no error when it may.
auto why_too_late(const attempt_order& order, const routing::dispatch& sent,
                  const std::string& address, core::time_point now)
    -> std::error_code
{
    if (address.empty()) {
        return routing::routing_errc::no_upstream;
    }
    if (now >= order.work.deadline) {
        return routing::routing_errc::deadline_passed;
    }
    if (now >= sent.finish_by) {
        return routing::routing_errc::upstream_cold;
    }
    return {};
}

} // namespace

upstreams_service::upstreams_service(core::zone_name local_zone)
    : local_zone(std::move(local_zone))
{}

upstreams_service::~upstreams_service() = default;

auto upstreams_service::name() const -> std::string_view
{
    return upstreams_service_name;
}

auto upstreams_service::dependencies() const -> std::vector<std::string>
{
    return {fleet::config_service_name, fleet::directory_service_name};
}

auto upstreams_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->clock = &kernel.clock();
    this->metrics = &kernel.metrics();
    this->caller = std::make_unique<attempt_caller>(kernel.clock());
    this->cancels =
        std::make_unique<cancel_sender>(kernel.clock(), *this->caller);
    return {};
}

auto upstreams_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    this->directory =
        kernel.find<fleet::upstream_directory>(fleet::directory_service_name);
    this->config->on_change([this](const auto&) { this->refresh(); });
    this->directory->on_change([this](const auto&) { this->refresh(); });
    this->refresh();
    this->poller = std::make_unique<load_poller>(
        kernel.clock(), *this->caller,
        [this] { return this->directory->upstreams(); },
        [this](const auto& polled, const auto& report) {
            if (const auto queue = this->find(polled.pool)) {
                queue->report_load(report);
            }
        });
    this->timers = std::make_unique<core::periodic_task>(
        kernel.clock(), [this] { return this->advance_timers(); });
    return {};
}

auto upstreams_service::about_to_shutdown() -> void
{
    if (this->poller) {
        this->poller->stop();
        this->timers->stop();
    }
    if (this->cancels) {
        this->cancels->stop();
        this->caller->stop();
    }
}

auto upstreams_service::run(const attempt_order& order,
                            const attempt_hooks& hooks) -> attempt_conclusion
{
    const auto queue = this->find(order.pool);
    if (!queue) {
        return routing::rejection{order.work.id,
                                  routing::routing_errc::no_upstream,
                                  no_upstream_retry_after};
    }
    auto decision = queue->await(order.work, hooks.is_abandoned);
    if (const auto* rejection = std::get_if<routing::rejection>(&decision)) {
        return *rejection;
    }
    const auto& sent = std::get<routing::dispatch>(decision);
    return this->dispatch(order, hooks, *queue, sent);
}

auto upstreams_service::dispatch(const attempt_order& order,
                                 const attempt_hooks& hooks, pool_queue& queue,
                                 const routing::dispatch& sent)
    -> attempt_conclusion
{
    const auto& upstream = sent.upstream;
    const auto address = this->address_of(upstream);
    auto result = routing::attempt_result();
    result.id = order.work.id;
    result.upstream = upstream;
    const auto start = this->clock->now();
    if (const auto reason = why_too_late(order, sent, address, start)) {
        result.end = routing::attempt_end::cancelled;
        queue.finish(result);
        return routing::rejection{order.work.id, reason, {}};
    }
    auto deadline = std::min(order.work.deadline, sent.finish_by);
    if (order.timeout) {
        deadline = std::min(deadline, start + *order.timeout);
    }
    if (hooks.on_dispatch) {
        hooks.on_dispatch();
    }
    auto outcome = this->caller->call(address, order, hooks, deadline);
    result.end = outcome.end;
    result.latency = this->clock->now() - start;
    result.cost = std::chrono::duration<double>(result.latency).count();
    result.incarnation = outcome.answer.incarnation;
    result.reported_cold = outcome.answer.cold;
    queue.finish(result);
    if (outcome.may_run_on && order.stage.idempotent &&
        this->cancels->submit(address, order.work.id)) {
        this->metrics->counter_for(cancels_info).add();
    }
    this->count_end(outcome);
    return pipeline::attempt_report{order.work.id, upstream, outcome.end,
                                    result.latency, std::move(outcome.answer)};
}

auto upstreams_service::count_end(const call_outcome& outcome) -> void
{
    this->metrics
        ->counter_for(ends_info, {{"end", pipeline::to_string(outcome.end)}})
        .add();
    const auto defect = outcome.answer.defect;
    if (defect != pipeline::answer_defect::none) {
        this->metrics
            ->counter_for(defects_info,
                          {{"reason", pipeline::to_string(defect)}})
            .add();
    }
}

auto upstreams_service::estimate(const core::pool_name& pool) const
    -> pipeline::stage_estimate
{
    const auto queue = this->find(pool);
    return queue ? queue->estimate() : pipeline::stage_estimate();
}

auto upstreams_service::pools() const -> std::vector<core::pool_name>
{
    const auto guard = std::shared_lock(this->mutex);
    auto names = std::vector<core::pool_name>();
    for (const auto& [name, queue] : this->queues) {
        names.push_back(name);
    }
    return names;
}

auto upstreams_service::cold_demand(const core::pool_name& pool) const -> demand
{
    const auto queue = this->find(pool);
    return queue ? queue->cold_demand() : demand();
}

auto upstreams_service::grant_cold_slots(const core::pool_name& pool,
                                         const routing::cold_grant& grant)
    -> void
{
    if (const auto queue = this->find(pool)) {
        queue->grant_cold_slots(grant);
    }
}

auto upstreams_service::cold_upstreams(const core::pool_name& pool) const
    -> std::vector<routing::cold_upstream>
{
    const auto queue = this->find(pool);
    return queue ? queue->cold_upstreams()
                 : std::vector<routing::cold_upstream>();
}

auto upstreams_service::on_cold_notification(cold_notification_handler handler)
    -> void
{
    const auto guard = std::unique_lock(this->mutex);
    this->notification_handler = std::move(handler);
}

auto upstreams_service::apply_cold_notification(
    const core::pool_name& pool, const routing::cold_notification& notification)
    -> void
{
    if (const auto queue = this->find(pool)) {
        queue->apply_cold_notification(notification);
    }
}

auto upstreams_service::report_notification(
    const core::pool_name& pool, const routing::cold_notification& notification)
    -> void
{
    auto handler = cold_notification_handler();
    {
        const auto guard = std::shared_lock(this->mutex);
        handler = this->notification_handler;
    }
    if (handler) {
        handler(pool, notification);
    }
}

auto upstreams_service::deny_cold_slots(const core::pool_name& pool,
                                        const core::upstream_id& id,
                                        core::duration retry_after) -> void
{
    if (const auto queue = this->find(pool)) {
        queue->deny_cold_slots(id, retry_after);
    }
}

auto upstreams_service::find(const core::pool_name& pool) const -> pool_pointer
{
    const auto guard = std::shared_lock(this->mutex);
    const auto found = this->queues.find(pool);
    return found == this->queues.end() ? nullptr : found->second;
}

auto upstreams_service::address_of(const core::upstream_id& id) const
    -> std::string
{
    const auto guard = std::shared_lock(this->mutex);
    const auto found = this->instances.find(id);
    return found == this->instances.end() ? "" : found->second.address;
}

/// Brings the pools in line with the configuration and the instance list.
auto upstreams_service::refresh() -> void
{
    const auto refresh_guard = std::lock_guard(this->refresh_mutex);
    const auto snapshot = this->config->current();
    auto members =
        std::map<core::pool_name, std::vector<routing::upstream_member>>();
    {
        const auto guard = std::unique_lock(this->mutex);
        this->instances.clear();
        for (const auto& listed : this->directory->upstreams()) {
            const auto id = core::upstream_id(listed.id);
            const auto accepts =
                listed.state == platform::instance_state::live &&
                snapshot->is_zone_in(listed.zone);
            members[listed.pool].push_back({id, listed.zone, accepts});
            this->instances.emplace(id, listed);
        }
    }
    auto addresses = std::set<std::string>();
    for (const auto& listed : this->directory->upstreams()) {
        addresses.insert(listed.address);
    }
    this->caller->retain(addresses);
    for (const auto& [name, settings] : snapshot->pools) {
        this->update_pool(settings, members[name]);
    }
}

auto upstreams_service::update_pool(
    const settings::pool_settings& settings,
    const std::vector<routing::upstream_member>& members) -> void
{
    auto queue = this->find(settings.name);
    if (queue) {
        queue->configure(settings);
    } else {
        queue = std::make_shared<pool_queue>(
            *this->clock, settings, this->local_zone, core::system_seed(),
            [this, pool = settings.name](const auto& notification) {
                this->report_notification(pool, notification);
            });
        const auto guard = std::unique_lock(this->mutex);
        this->queues.emplace(settings.name, queue);
    }
    queue->set_members(members);
}

auto upstreams_service::advance_timers() -> core::duration
{
    const auto now = this->clock->now();
    auto next = now + max_timer_pause;
    for (const auto& name : this->pools()) {
        const auto queue = this->find(name);
        if (!queue) {
            continue;
        }
        const auto timer = queue->next_timer();
        if (timer && *timer <= now) {
            queue->advance();
        } else if (timer) {
            next = std::min(next, *timer);
        }
    }
    return std::max<core::duration>(next - now, min_timer_pause);
}

auto upstreams_service::status() const -> std::string
{
    auto pools = nlohmann::json::array();
    for (const auto& name : this->pools()) {
        const auto queue = this->find(name);
        if (!queue) {
            continue;
        }
        const auto view = queue->view();
        auto upstreams = nlohmann::json::array();
        for (const auto& upstream : view.upstreams) {
            upstreams.push_back({{"id", upstream.id.str()},
                                 {"zone", upstream.zone.str()},
                                 {"state", state_name(upstream)},
                                 {"in_flight", upstream.in_flight},
                                 {"limit", upstream.limit}});
        }
        pools.push_back({{"pool", name.str()},
                         {"upstreams", upstreams},
                         {"queued", view.queued}});
    }
    return nlohmann::json{{"pools", pools}}.dump();
}

} // namespace almondtiller::services
