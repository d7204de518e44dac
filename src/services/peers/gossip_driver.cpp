#include "services/peers/gossip_driver.h"

#include "fleet/fleet_errc.h"

#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto ping_timeout = core::milliseconds(300);

/// Longer than a ping, since the relay needs one of its own.
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
      machine(self, this->options, seed)
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
        this->machine.leave();
        others = this->machine.table().members();
        std::erase_if(others, [this](const auto& peer) {
            return peer.id == this->machine.table().self().id;
        });
    }
    auto message = fleet::gossip_message();
    message.facts = this->facts();
    message.updates = {this->self()};
    message.view = fleet::member_table(this->self()).view();
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
    this->machine.set_contacts(contacts);
}

auto gossip_driver::set_facts_source(
    fleet::gossip_channel::facts_source facts_source) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->source = std::move(facts_source);
}

auto gossip_driver::on_facts(fleet::gossip_channel::facts_handler handler)
    -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->fact_handlers.push_back(std::move(handler));
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
    return this->machine.table().self();
}

auto gossip_driver::members() const -> std::vector<fleet::member>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->machine.table().members();
}

auto gossip_driver::peer_address(const core::node_id& id) const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    const auto* found = this->machine.table().find(id);
    return found == nullptr ? "" : found->peer_address;
}

auto gossip_driver::tick() -> void
{
    const auto traffic = this->transport.traffic();
    this->sent_bytes.set(double(traffic.sent_bytes));
    this->received_bytes.set(double(traffic.received_bytes));
    auto orders = std::vector<fleet::probe_order>();
    {
        const auto guard = std::lock_guard(this->mutex);
        orders = this->machine.tick(this->clock.now());
    }
    for (const auto& order : orders) {
        this->send(order);
    }
    this->report_changes();
}

auto gossip_driver::send(const fleet::probe_order& order) -> void
{
    if (order.relay) {
        this->send_relayed(order);
    } else {
        this->send_ping(order);
    }
}

auto gossip_driver::send_ping(const fleet::probe_order& order) -> void
{
    auto message = fleet::gossip_message();
    {
        const auto guard = std::lock_guard(this->mutex);
        message = this->machine.make_ping(order.target.id);
    }
    message.facts = this->facts();
    this->transport.call(
        order.target.peer_address, gossip_topic, fleet::encode_gossip(message),
        ping_timeout, [this, order](const core::result<std::string>& answer) {
            if (answer) {
                const auto ack = fleet::decode_gossip(answer.value());
                if (ack) {
                    const auto now = this->clock.now();
                    const auto guard = std::lock_guard(this->mutex);
                    this->machine.on_ack(ack.value(), now);
                }
                if (ack) {
                    this->report_facts(order.target.id, ack.value().facts);
                }
            }
            this->ended(order, answer);
        });
}

auto gossip_driver::send_relayed(const fleet::probe_order& order) -> void
{
    const auto body = fleet::encode_ping_request(
        {order.target.id, order.target.peer_address});
    this->transport.call(
        order.relay->peer_address, relay_topic, body, relay_timeout,
        [this, order](const core::result<std::string>& answer) {
            this->ended(order, answer);
        });
}

auto gossip_driver::ended(const fleet::probe_order& order,
                          const core::result<std::string>& answer) -> void
{
    if (!answer) {
        this->probe_failures.add();
    }
    auto next = std::vector<fleet::probe_order>();
    {
        const auto guard = std::lock_guard(this->mutex);
        next = this->machine.on_probe_result(order, answer.has_value(),
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
        ack = this->machine.on_ping(ping, this->clock.now());
    }
    ack.facts = this->facts();
    this->report_facts(core::node_id(request.sender), ping.facts);
    this->report_changes();
    return fleet::encode_gossip(ack);
}

auto gossip_driver::serve_relay(const h2_request& request,
                                peer_transport::reply_handler reply) -> void
{
    const auto wanted = fleet::decode_ping_request(request.body);
    if (!wanted) {
        reply(wanted.error());
        return;
    }
    auto message = fleet::gossip_message();
    {
        const auto guard = std::lock_guard(this->mutex);
        message = this->machine.make_ping(wanted.value().target);
    }
    message.facts = this->facts();
    this->transport.call(wanted.value().peer_address, gossip_topic,
                         fleet::encode_gossip(message), ping_timeout,
                         [reply = std::move(reply)](const auto& answer) {
                             if (answer) {
                                 reply(std::string());
                             } else {
                                 reply(answer.error());
                             }
                         });
}

auto gossip_driver::facts() const -> fleet::gossip_facts
{
    auto current = fleet::gossip_channel::facts_source();
    {
        const auto guard = std::lock_guard(this->mutex);
        current = this->source;
    }
    return current ? current() : fleet::gossip_facts();
}

auto gossip_driver::report_facts(const core::node_id& sender,
                                 const fleet::gossip_facts& told) -> void
{
    auto handlers = std::vector<fleet::gossip_channel::facts_handler>();
    {
        const auto guard = std::lock_guard(this->mutex);
        handlers = this->fact_handlers;
    }
    for (const auto& handler : handlers) {
        handler(sender, told);
    }
}

auto gossip_driver::report_changes() -> void
{
    const auto order = std::lock_guard(this->report_mutex);
    auto current = std::vector<fleet::member>();
    auto handlers = std::vector<fleet::peer_bus::members_handler>();
    {
        const auto guard = std::lock_guard(this->mutex);
        current = this->machine.table().members();
        handlers = this->member_handlers;
    }
    if (current == this->reported) {
        return;
    }
    this->reported = current;
    this->live_members.set(double(current.size()));
    for (const auto& handler : handlers) {
        handler(current);
    }
}

} // namespace almondtiller::services
