#include "services/peers/gossip_driver.h"

#include "fleet/fleet_errc.h"

#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto ping_timeout = core::milliseconds(300);

/// Longer than ping_timeout, because the relay waits for the answer to its own
/// ping within this time.
constexpr auto relay_timeout = core::milliseconds(700);

constexpr auto probe_failures_info = core::metric_info{
    "almondtiller_peer_probe_failures_total", core::metric_kind::counter,
    "Pings of the failure detector that got no answer."};

constexpr auto members_info = core::metric_info{
    "almondtiller_members", core::metric_kind::gauge,
    "Nodes that are members of the fleet, this one included."};

constexpr auto traffic_info = core::metric_info{
    "almondtiller_peer_bytes", core::metric_kind::gauge,
    "Bytes exchanged with peers since the start, by direction."};

} // namespace

gossip_driver::gossip_driver(const core::runtime_clock& clock,
                             peer_transport& transport,
                             core::metrics_registry& metrics,
                             const fleet::member& self, std::uint64_t seed)
    : clock(clock),
      transport(transport),
      probe_failures(metrics.counter_for(probe_failures_info)),
      live_members(metrics.gauge_for(members_info)),
      sent_bytes(metrics.gauge_for(traffic_info, {{"direction", "sent"}})),
      received_bytes(
          metrics.gauge_for(traffic_info, {{"direction", "received"}})),
      detector(self, this->options, seed)
{}

auto gossip_driver::start() -> void
{
    this->task = std::make_unique<core::periodic_task>(
        this->clock, [this]() -> core::duration {
            this->tick();
            return this->options.interval;
        });
}

auto gossip_driver::stop() -> void
{
    if (this->task) {
        this->task->stop();
    }
}

auto gossip_driver::serve(const h2_request& request,
                          peer_transport::reply_handler reply) -> void
{
    if (request.topic == relay_topic) {
        this->serve_relay(request, std::move(reply));
    } else {
        reply(this->serve_ping(request));
    }
}

auto gossip_driver::announce_leaving() -> void
{
    auto others = std::vector<fleet::member>();
    {
        const auto guard = std::lock_guard(this->mutex);
        this->detector.leave();
        others = this->detector.table().members();
        std::erase_if(others, [this](const auto& peer) {
            return peer.id == this->detector.table().self().id;
        });
    }
    auto message = fleet::gossip_message();
    message.sender_config_status = this->current_config_status();
    message.updates = {this->self()};
    message.table_hash = fleet::member_table(this->self()).hash();
    for (const auto& peer : others) {
        this->transport.call(peer.peer_address, gossip_topic,
                             fleet::encode_gossip(message), relay_timeout,
                             [](const auto&) {});
    }
    this->report_changes();
}

auto gossip_driver::set_contacts(const std::vector<fleet::member>& contacts)
    -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->detector.set_contacts(contacts);
}

auto gossip_driver::set_config_status_source(
    fleet::gossip_channel::config_status_source source) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->config_status_source = std::move(source);
}

auto gossip_driver::on_config_status(
    fleet::gossip_channel::config_status_handler handler) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->config_status_handlers.push_back(std::move(handler));
}

auto gossip_driver::on_members_changed(fleet::peer_bus::members_handler handler)
    -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->member_handlers.push_back(std::move(handler));
}

auto gossip_driver::self() const -> fleet::member
{
    const auto guard = std::lock_guard(this->mutex);
    return this->detector.table().self();
}

auto gossip_driver::members() const -> std::vector<fleet::member>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->detector.table().members();
}

auto gossip_driver::peer_address(const core::node_id& id) const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    const auto* found = this->detector.table().find(id);
    return found == nullptr ? "" : found->peer_address;
}

auto gossip_driver::tick() -> void
{
    const auto traffic = this->transport.traffic();
    this->sent_bytes.set(double(traffic.sent_bytes));
    this->received_bytes.set(double(traffic.received_bytes));
    auto requests = std::vector<fleet::probe_request>();
    {
        const auto guard = std::lock_guard(this->mutex);
        requests = this->detector.tick(this->clock.now());
    }
    for (const auto& request : requests) {
        this->send(request);
    }
    this->report_changes();
}

auto gossip_driver::send(const fleet::probe_request& request) -> void
{
    if (request.relay) {
        this->send_relayed(request);
    } else {
        this->send_ping(request);
    }
}

auto gossip_driver::send_ping(const fleet::probe_request& request) -> void
{
    auto message = fleet::gossip_message();
    {
        const auto guard = std::lock_guard(this->mutex);
        message = this->detector.make_ping(request.target.id);
    }
    message.sender_config_status = this->current_config_status();
    this->transport.call(
        request.target.peer_address, gossip_topic,
        fleet::encode_gossip(message), ping_timeout,
        [this, request](const core::result<std::string>& answer) {
            if (answer) {
                const auto ack = fleet::decode_gossip(answer.value());
                if (ack) {
                    const auto now = this->clock.now();
                    const auto guard = std::lock_guard(this->mutex);
                    this->detector.on_ack(ack.value(), now);
                }
                if (ack) {
                    this->report_config_status(
                        request.target.id, ack.value().sender_config_status);
                }
            }
            this->on_probe_ended(request, answer);
        });
}

auto gossip_driver::send_relayed(const fleet::probe_request& request) -> void
{
    const auto body = fleet::encode_ping_request(
        {request.target.id, request.target.peer_address});
    this->transport.call(
        request.relay->peer_address, relay_topic, body, relay_timeout,
        [this, request](const core::result<std::string>& answer) {
            this->on_probe_ended(request, answer);
        });
}

auto gossip_driver::on_probe_ended(const fleet::probe_request& request,
                                   const core::result<std::string>& answer)
    -> void
{
    if (!answer) {
        this->probe_failures.add();
    }
    auto next = std::vector<fleet::probe_request>();
    {
        const auto guard = std::lock_guard(this->mutex);
        next = this->detector.on_probe_result(request, answer.has_value(),
                                              this->clock.now());
    }
    for (const auto& indirect : next) {
        this->send(indirect);
    }
    this->report_changes();
}

auto gossip_driver::serve_ping(const h2_request& request)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(ping, fleet::decode_gossip(request.body));
    auto ack = fleet::gossip_message();
    {
        const auto guard = std::lock_guard(this->mutex);
        ack = this->detector.on_ping(ping, this->clock.now());
    }
    ack.sender_config_status = this->current_config_status();
    this->report_config_status(core::node_id(request.sender),
                               ping.sender_config_status);
    this->report_changes();
    return fleet::encode_gossip(ack);
}

auto gossip_driver::serve_relay(const h2_request& request,
                                peer_transport::reply_handler reply) -> void
{
    const auto relay_request = fleet::decode_ping_request(request.body);
    if (!relay_request) {
        reply(relay_request.error());
        return;
    }
    auto message = fleet::gossip_message();
    {
        const auto guard = std::lock_guard(this->mutex);
        message = this->detector.make_ping(relay_request.value().target);
    }
    message.sender_config_status = this->current_config_status();
    this->transport.call(relay_request.value().peer_address, gossip_topic,
                         fleet::encode_gossip(message), ping_timeout,
                         [reply = std::move(reply)](const auto& answer) {
                             if (answer) {
                                 reply(std::string());
                             } else {
                                 reply(answer.error());
                             }
                         });
}

auto gossip_driver::current_config_status() const -> fleet::config_status
{
    auto current = fleet::gossip_channel::config_status_source();
    {
        const auto guard = std::lock_guard(this->mutex);
        current = this->config_status_source;
    }
    return current ? current() : fleet::config_status();
}

auto gossip_driver::report_config_status(const core::node_id& sender,
                                         const fleet::config_status& status)
    -> void
{
    auto handlers = std::vector<fleet::gossip_channel::config_status_handler>();
    {
        const auto guard = std::lock_guard(this->mutex);
        handlers = this->config_status_handlers;
    }
    for (const auto& handler : handlers) {
        handler(sender, status);
    }
}

auto gossip_driver::report_changes() -> void
{
    const auto report_guard = std::lock_guard(this->report_mutex);
    auto current = std::vector<fleet::member>();
    auto handlers = std::vector<fleet::peer_bus::members_handler>();
    {
        const auto guard = std::lock_guard(this->mutex);
        current = this->detector.table().members();
        handlers = this->member_handlers;
    }
    if (current == this->reported_members) {
        return;
    }
    this->reported_members = current;
    this->live_members.set(double(current.size()));
    for (const auto& handler : handlers) {
        handler(current);
    }
}

} // namespace almondtiller::services
