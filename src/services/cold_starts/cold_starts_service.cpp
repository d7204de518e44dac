#include "services/cold_starts/cold_starts_service.h"

#include "core/metrics.h"
#include "kernel/kernel.h"
#include "services/cold_starts/cold_messages.h"

#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto poll_interval = core::duration(core::milliseconds(20));
constexpr auto request_timeout = core::milliseconds(400);

constexpr auto responses_metric = core::metric_info{
    "almondtiller_cold_offers_total", core::metric_kind::counter,
    "Answers of this node as steward to asks for cold slots, by verdict."};

constexpr auto notifications_metric = core::metric_info{
    "almondtiller_cold_signs_total", core::metric_kind::counter,
    "Upstreams that this node saw turn cold and told its peers of."};

auto verdict_name(routing::cold_verdict verdict, std::uint32_t slots)
    -> std::string
{
    switch (verdict) {
    case routing::cold_verdict::decided:
        return slots > 0 ? "granted" : "no_slots";
    case routing::cold_verdict::not_coordinator:
        return "not_steward";
    case routing::cold_verdict::waiting:
        return "waiting";
    case routing::cold_verdict::no_quorum:
        return "no_quorum";
    }
    return "no_slots";
}

} // namespace

cold_starts_service::~cold_starts_service() = default;

auto cold_starts_service::name() const -> std::string_view
{
    return cold_starts_service_name;
}

auto cold_starts_service::dependencies() const -> std::vector<std::string>
{
    return {fleet::peers_service_name, fleet::config_service_name,
            upstreams_service_name};
}

auto cold_starts_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->clock = &kernel.clock();
    this->metrics = &kernel.metrics();
    return {};
}

auto cold_starts_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->bus = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    this->config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    this->pools = kernel.find<pool_access>(upstreams_service_name);
    const auto self = this->bus->self();
    this->self = self.id;
    {
        const auto guard = std::lock_guard(this->mutex);
        const auto now = this->clock->now();
        this->coordinator.emplace(self.id, this->timing(), now);
        this->client.emplace(self.id, self.incarnation, this->timing());
    }
    this->bus->handle(cold_slots_topic,
                      [this](const auto& sender, const auto& body) {
                          return this->on_request(sender, body);
                      });
    this->bus->handle(cold_notifications_topic,
                      [this](const auto&, const auto& body) {
                          return this->on_notification(body);
                      });
    this->pools->on_cold_notification(
        [this](const auto& pool, const auto& notification) {
            this->broadcast({pool, notification});
        });
    this->bus->on_members_changed(
        [this](const auto& members) { this->on_members(members); });
    this->on_members(this->bus->members());
    this->task = std::make_unique<core::periodic_task>(
        *this->clock, [this] { return this->run_once(); });
    return {};
}

auto cold_starts_service::about_to_shutdown() -> void
{
    if (this->task) {
        this->task->stop();
    }
}

auto cold_starts_service::timing() const -> routing::cold_timing
{
    auto timing = routing::cold_timing();
    timing.grant_duration = this->config->current()->fleet.grant_duration;
    timing.longest_dispatch = routing::longest_cold_dispatch;
    return timing;
}

auto cold_starts_service::capacity_of(const core::pool_name& pool) const
    -> std::uint32_t
{
    const auto snapshot = this->config->current();
    const auto* settings = snapshot->find_pool(pool);
    return settings == nullptr ? 0 : settings->cold_capacity;
}

auto cold_starts_service::on_members(const std::vector<fleet::member>& members)
    -> void
{
    auto view = routing::member_view();
    for (const auto& member : members) {
        const auto is_leaving = member.state == fleet::member_state::leaving;
        (is_leaving ? view.leaving : view.members).push_back(member.id);
    }
    const auto guard = std::lock_guard(this->mutex);
    this->client->set_view(view);
    this->coordinator->set_view(std::move(view), this->clock->now());
}

auto cold_starts_service::count(routing::cold_verdict verdict,
                                std::uint32_t slots) -> void
{
    const auto label = verdict_name(verdict, slots);
    this->metrics->counter_for(responses_metric, {{"verdict", label}}).add();
}

auto cold_starts_service::decide(const core::node_id& holder,
                                 const routing::cold_slot_request& slot_request)
    -> routing::cold_slot_response
{
    const auto guard = std::lock_guard(this->mutex);
    auto response = this->coordinator->handle_request(
        holder, slot_request, this->capacity_of(slot_request.pool),
        this->clock->now());
    this->count(response.verdict, response.slots);
    return response;
}

auto cold_starts_service::on_request(const core::node_id& sender,
                                     const std::string& body)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(slot_request, decode_cold_slot_request(body));
    return encode(this->decide(sender, slot_request));
}

auto cold_starts_service::on_notification(const std::string& body)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(message, decode_cold_notification(body));
    this->pools->apply_cold_notification(message.pool, message.notification);
    return std::string();
}

/// Notifies every peer immediately. A node that has not observed the change
/// itself would continue to send to the upstream as if it were warm.
auto cold_starts_service::broadcast(const cold_notification_message& message)
    -> void
{
    this->metrics->counter_for(notifications_metric).add();
    const auto body = encode(message);
    for (const auto& member : this->bus->members()) {
        if (member.id != this->self) {
            this->bus->call(member.id, cold_notifications_topic, body,
                            request_timeout, [](const auto&) {});
        }
    }
}

auto cold_starts_service::apply(const routing::cold_client::outcome& outcome)
    -> void
{
    if (const auto* change =
            std::get_if<routing::cold_client::grant_change>(&outcome)) {
        this->pools->grant_cold_slots(change->pool, change->grant);
    }
    if (const auto* denied =
            std::get_if<routing::cold_client::denial>(&outcome)) {
        this->pools->deny_cold_slots(denied->pool, denied->id,
                                     denied->retry_after);
    }
}

auto cold_starts_service::on_reply(const routing::cold_client::request& sent,
                                   const core::result<std::string>& reply)
    -> void
{
    const auto response =
        reply.has_value()
            ? decode_cold_slot_response(reply.value())
            : core::result<routing::cold_slot_response>(reply.error());
    const auto guard = std::lock_guard(this->mutex);
    const auto now = this->clock->now();
    this->apply(
        response.has_value()
            ? this->client->on_response(sent.target, response.value(), now)
            : this->client->on_failure(sent.slot_request.id,
                                       sent.slot_request.sequence, now));
}

auto cold_starts_service::poll() -> routing::cold_client::plan
{
    const auto guard = std::lock_guard(this->mutex);
    const auto timing = this->timing();
    this->coordinator->set_timing(timing);
    this->client->set_timing(timing);
    this->coordinator->tick(this->clock->now());
    auto demands = std::vector<routing::cold_client::slot_demand>();
    for (const auto& pool : this->pools->pools()) {
        for (auto& cold : this->pools->cold_upstreams(pool)) {
            demands.push_back({pool, std::move(cold)});
        }
    }
    auto planned = this->client->poll(demands, this->clock->now());
    for (const auto& change : planned.grants) {
        this->apply(change);
    }
    for (const auto& denied : planned.denials) {
        this->apply(denied);
    }
    return planned;
}

auto cold_starts_service::send(const routing::cold_client::request& request)
    -> void
{
    if (request.target == this->self) {
        this->on_reply(request,
                       encode(this->decide(this->self, request.slot_request)));
        return;
    }
    this->bus->call(
        request.target, cold_slots_topic, encode(request.slot_request),
        request_timeout,
        [this, request](const auto& reply) { this->on_reply(request, reply); });
}

auto cold_starts_service::run_once() -> core::duration
{
    const auto planned = this->poll();
    for (const auto& request : planned.requests) {
        this->send(request);
    }
    return poll_interval;
}

} // namespace almondtiller::services
