#include "services/gateway/peer_gossip.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// A round trip between zones takes a few milliseconds. A small machine that
/// has used up its CPU share is scheduled again within 100 ms.
constexpr auto ping_timeout = core::milliseconds(200);
constexpr auto relay_timeout = core::milliseconds(300);
/// Delay before updates are sent, so that updates that follow each other
/// closely, as after the loss of a whole zone, are sent together.
constexpr auto update_delay = core::milliseconds(30);

/// A node that has failed is removed from all directory answers within two
/// seconds: usually 0.2 s until it is pinged, 0.5 s for the ping and its
/// relays, 0.4 s in which the suspicion can be refuted, and 0.2 s until the
/// update has reached all nodes.
auto gossip_options() -> fleet::membership_options
{
    auto options = fleet::membership_options();
    options.interval = core::milliseconds(200);
    options.suspicion_timeout = core::milliseconds(400);
    // A datagram with twice as many updates still fits into an Ethernet frame.
    options.max_updates = 12;
    // Dead nodes stay registered. If their tombstones expired, they would be
    // considered alive again.
    options.tombstone_retention = std::chrono::hours(24);
    return options;
}

constexpr auto era_shift = 40U;

auto to_member(const adapter::node_entry& entry) -> fleet::member
{
    auto result = fleet::member();
    result.id = entry.node;
    // A restored store assigns lower revisions to later processes.
    result.incarnation = (std::uint64_t(entry.revision.era) << era_shift) |
                         std::uint64_t(entry.revision.number);
    result.zone = entry.zone;
    result.peer_address = core::to_text(entry.peers);
    return result;
}

/// \return Whether the answer comes from the node that the ping was sent to.
///         Another node may have taken over the address.
auto is_answer_to(const fleet::probe_request& request,
                  const gossip_datagram& answer) -> bool
{
    const auto& expected_sender =
        request.relay ? request.relay->id : request.target.id;
    const auto kind = request.relay ? gossip_kind::relay_ack : gossip_kind::ack;
    return answer.sender == expected_sender && answer.kind == kind;
}

} // namespace

peer_gossip::peer_gossip(event::loop& loop, const adapter::node_entry& own,
                         event_log& logger)
    : event_loop(loop),
      self(own.node),
      log(logger),
      detector(to_member(own), gossip_options(), core::system_seed()),
      socket(loop,
             [this](std::string_view bytes, const core::endpoint& sender) {
                 this->on_bytes(bytes, sender);
             }),
      ticker(loop, [this]() { this->tick(); }),
      expiry_timer(loop, [this]() { this->expire(); }),
      update_timer(loop, [this]() { this->send_updates(); })
{}

auto peer_gossip::listen(const core::endpoint& address) -> std::error_code
{
    return this->socket.bind(address);
}

auto peer_gossip::start() -> void
{
    this->is_started = true;
    const auto interval = gossip_options().interval;
    this->ticker.start_repeating(interval, interval);
}

auto peer_gossip::set_members(const std::vector<adapter::node_entry>& members)
    -> void
{
    auto listed = std::vector<fleet::member>();
    for (const auto& entry : members) {
        listed.push_back(to_member(entry));
        if (entry.node == this->self) {
            this->detector.set_incarnation(listed.back().incarnation);
        }
    }
    this->detector.set_listed(listed);
    this->report_change();
}

auto peer_gossip::set_status(std::function<std::string()> source) -> void
{
    this->status = std::move(source);
}

auto peer_gossip::on_status(status_hook hook) -> void
{
    this->status_received = std::move(hook);
}

auto peer_gossip::on_change(std::function<void()> hook) -> void
{
    this->changed = std::move(hook);
}

auto peer_gossip::check(const core::node_id& node) -> void
{
    for (const auto& request : this->detector.probe(node)) {
        this->send(request);
    }
}

auto peer_gossip::close() -> void
{
    this->is_started = false;
    this->status = nullptr;
    this->status_received = nullptr;
    this->changed = nullptr;
    this->ticker.stop();
    this->expiry_timer.stop();
    this->update_timer.stop();
    this->socket.close();
}

auto peer_gossip::leave() -> void
{
    this->detector.leave();
    this->send_updates();
}

auto peer_gossip::send_updates() -> void
{
    this->is_update_scheduled = false;
    while (this->detector.has_unsent_updates()) {
        auto datagram = gossip_datagram();
        datagram.kind = gossip_kind::update;
        datagram.number = ++this->last_number;
        datagram.sender = this->self;
        datagram.status = this->own_status();
        datagram.message = this->detector.take_unsent_updates();
        for (const auto& receiver : this->detector.choose_receivers()) {
            if (const auto address =
                    core::parse_endpoint(receiver.peer_address)) {
                this->send_datagram(*address, datagram);
            }
        }
    }
}

auto peer_gossip::is_alive(const core::node_id& node) const -> bool
{
    const auto* record = this->detector.table().find(node);
    return record != nullptr && (record->state == fleet::member_state::alive ||
                                 record->state == fleet::member_state::suspect);
}

auto peer_gossip::own_status() const -> std::string
{
    return this->status ? this->status() : std::string();
}

auto peer_gossip::tick() -> void
{
    for (const auto& request : this->detector.tick(this->event_loop.now())) {
        this->send(request);
    }
    this->report_change();
}

auto peer_gossip::send(const fleet::probe_request& request) -> void
{
    if (!request.relay) {
        const auto number = this->send_ping(request);
        this->add_pending(number, {request, {}, {}, 0}, ping_timeout);
        return;
    }
    auto relay = gossip_datagram();
    relay.kind = gossip_kind::relay;
    relay.number = ++this->last_number;
    relay.sender = this->self;
    relay.status = this->own_status();
    relay.target = {request.target.id, request.target.peer_address};
    this->add_pending(relay.number, {request, {}, {}, 0}, relay_timeout);
    if (const auto address =
            core::parse_endpoint(request.relay->peer_address)) {
        this->send_datagram(*address, relay);
    }
}

auto peer_gossip::send_ping(const fleet::probe_request& request)
    -> std::uint64_t
{
    auto ping = gossip_datagram();
    ping.number = ++this->last_number;
    ping.sender = this->self;
    ping.status = this->own_status();
    ping.message = this->detector.make_ping(request.target.id);
    if (const auto address =
            core::parse_endpoint(request.target.peer_address)) {
        this->send_datagram(*address, ping);
    }
    return ping.number;
}

auto peer_gossip::send_datagram(const core::endpoint& target,
                                const gossip_datagram& datagram) -> void
{
    if (const auto error = this->socket.send(target, encode(datagram))) {
        this->log.write(
            severity::detail, "datagram_not_sent",
            {{"address", core::to_text(target)}, {"error", error.message()}});
    }
}

auto peer_gossip::add_pending(std::uint64_t number, pending_ping ping,
                              core::milliseconds timeout) -> void
{
    ping.deadline = this->event_loop.now() + timeout;
    this->pending.emplace(number, std::move(ping));
    if (!std::exchange(this->is_expiry_scheduled, true)) {
        this->expiry_timer.start(timeout);
    }
}

auto peer_gossip::on_bytes(std::string_view bytes, const core::endpoint& sender)
    -> void
{
    if (!this->is_started) {
        return;
    }
    const auto datagram = decode_datagram(bytes);
    if (!datagram) {
        this->log.write(severity::notice, "datagram_unreadable",
                        {{"address", core::to_text(sender)},
                         {"error", datagram.error().message()}});
        return;
    }
    const auto& received = datagram.value();
    if (this->status_received && !received.status.empty()) {
        this->status_received(received.sender, received.status);
    }
    switch (received.kind) {
    case gossip_kind::ping:
        this->on_ping(received, sender);
        break;
    case gossip_kind::relay:
        this->on_relay(received, sender);
        break;
    case gossip_kind::update:
        this->detector.on_updates(received.message, this->event_loop.now());
        break;
    case gossip_kind::ack:
    case gossip_kind::relay_ack:
        this->on_answer(received);
        break;
    }
    this->report_change();
}

auto peer_gossip::on_ping(const gossip_datagram& ping,
                          const core::endpoint& sender) -> void
{
    auto ack = gossip_datagram();
    ack.kind = gossip_kind::ack;
    ack.number = ping.number;
    ack.sender = this->self;
    ack.status = this->own_status();
    ack.message = this->detector.on_ping(ping.message, this->event_loop.now());
    this->send_datagram(sender, ack);
}

auto peer_gossip::on_relay(const gossip_datagram& relay,
                           const core::endpoint& sender) -> void
{
    auto request = fleet::probe_request();
    request.target.id = relay.target.target;
    request.target.peer_address = relay.target.peer_address;
    const auto number = this->send_ping(request);
    this->add_pending(number, {request, {}, sender, relay.number},
                      relay_timeout);
}

auto peer_gossip::on_answer(const gossip_datagram& answer) -> void
{
    const auto found = this->pending.find(answer.number);
    if (answer.kind == gossip_kind::ack) {
        this->detector.on_ack(answer.message, this->event_loop.now());
    }
    if (found == this->pending.end() ||
        !is_answer_to(found->second.probe_request, answer)) {
        return;
    }
    const auto ping = std::move(found->second);
    this->pending.erase(found);
    this->finish(ping, true);
}

auto peer_gossip::expire() -> void
{
    this->is_expiry_scheduled = false;
    const auto now = this->event_loop.now();
    auto overdue = std::vector<pending_ping>();
    auto next = core::time_point::max();
    std::erase_if(this->pending, [&](const auto& item) {
        if (item.second.deadline <= now) {
            overdue.push_back(item.second);
            return true;
        }
        next = std::min(next, item.second.deadline);
        return false;
    });
    if (next != core::time_point::max()) {
        this->is_expiry_scheduled = true;
        this->expiry_timer.start(
            std::chrono::ceil<core::milliseconds>(next - now));
    }
    for (const auto& ping : overdue) {
        this->finish(ping, false);
    }
    this->report_change();
}

auto peer_gossip::finish(const pending_ping& ping, bool is_answered) -> void
{
    if (ping.request_number != 0) {
        if (is_answered) {
            auto answer = gossip_datagram();
            answer.kind = gossip_kind::relay_ack;
            answer.number = ping.request_number;
            answer.sender = this->self;
            this->send_datagram(ping.requester, answer);
        }
        return;
    }
    for (const auto& request : this->detector.on_probe_result(
             ping.probe_request, is_answered, this->event_loop.now())) {
        this->send(request);
    }
}

auto peer_gossip::report_change() -> void
{
    if (this->is_started && this->detector.has_unsent_updates() &&
        !std::exchange(this->is_update_scheduled, true)) {
        this->update_timer.start(update_delay);
    }
    const auto view = this->detector.table().hash();
    if (view != std::exchange(this->reported_view, view) && this->changed) {
        this->changed();
    }
}

} // namespace almondtiller::gateway
