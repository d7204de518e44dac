#include "fleet/membership.h"

#include <algorithm>
#include <utility>

namespace almondtiller::fleet {

namespace {

/// A round that is late by more intervals than this means that the process
/// was paused.
constexpr auto late_rounds = 3;

/// Contacts that a node without peers pings in one round.
constexpr auto join_contacts = std::size_t(3);

auto shuffle(std::vector<member>& members, core::random_source& random) -> void
{
    for (auto left = members.size(); left > 1; --left) {
        std::swap(members[left - 1], members[random.below(left)]);
    }
}

} // namespace

membership::membership(const member& self, const membership_options& options,
                       std::uint64_t seed)
    : options(options), known(self), random(seed)
{}

auto membership::set_contacts(const std::vector<member>& contacts) -> void
{
    this->contacts.clear();
    for (const auto& contact : contacts) {
        this->contacts.emplace(contact.id, contact);
    }
}

auto membership::tick(core::time_point now) -> std::vector<probe_order>
{
    this->shift_deadlines(now);
    this->end_suspicions(now);
    ++this->rounds;
    auto orders = std::vector<probe_order>();
    const auto target = this->next_target();
    if (target && !this->has_open_probe(target->id)) {
        const auto number = this->next_probe++;
        this->probes[target->id] = {number, 0, false};
        orders.push_back({number, std::nullopt, *target});
    }
    for (const auto& contact : this->next_contacts()) {
        orders.push_back({0, std::nullopt, contact});
    }
    return orders;
}

auto membership::make_ping(const core::node_id& target) -> gossip_message
{
    auto message = gossip_message();
    message.wants_all = this->others().empty();
    message.view = this->known.view();
    message.updates = this->known.take_updates(this->options.max_updates);
    const auto* record = this->known.find(target);
    const auto is_doubted = record != nullptr &&
                            record->state != member_state::alive &&
                            record->state != member_state::leaving;
    if (is_doubted) {
        // The member must learn of the doubt, to refute it.
        message.updates.push_back(*record);
    }
    if (record == nullptr || message.wants_all || is_doubted) {
        message.updates.push_back(this->known.self());
    }
    return message;
}

auto membership::on_ping(const gossip_message& ping, core::time_point now)
    -> gossip_message
{
    this->merge(ping.updates, now);
    auto ack = gossip_message();
    this->fill_updates(ack, ping.view, ping.wants_all);
    return ack;
}

auto membership::on_ack(const gossip_message& ack, core::time_point now) -> void
{
    this->merge(ack.updates, now);
    if (ack.view != this->known.view()) {
        this->known.requeue_self();
    }
}

auto membership::on_probe_result(const probe_order& order, bool answered,
                                 core::time_point now)
    -> std::vector<probe_order>
{
    const auto found = this->probes.find(order.target.id);
    if (found == this->probes.end() || found->second.number != order.probe ||
        found->second.ended) {
        return {};
    }
    auto& probe = found->second;
    if (answered) {
        probe.ended = true;
        return {};
    }
    if (order.relay) {
        probe.waiting -= 1;
    } else {
        auto orders = std::vector<probe_order>();
        for (const auto& relay : this->choose_relays(order.target)) {
            orders.push_back({order.probe, relay, order.target});
        }
        probe.waiting = orders.size();
        if (!orders.empty()) {
            return orders;
        }
    }
    if (probe.waiting == 0) {
        probe.ended = true;
        this->suspect(order.target.id, now);
    }
    return {};
}

auto membership::leave() -> void
{
    this->known.leave();
}

auto membership::table() const -> const member_table&
{
    return this->known;
}

auto membership::merge(const std::vector<member>& updates, core::time_point now)
    -> void
{
    for (const auto& update : updates) {
        this->merge(update, now);
    }
}

auto membership::merge(const member& update, core::time_point now) -> void
{
    const auto is_unknown = this->known.find(update.id) == nullptr;
    if (is_unknown && update.state == member_state::dead) {
        return;
    }
    if (!this->known.merge(update) || update.id == this->known.self().id) {
        return;
    }
    this->suspicions.erase(update.id);
    this->tombstones.erase(update.id);
    if (update.state == member_state::suspect) {
        this->suspicions[update.id] = now + this->options.suspicion;
    }
    if (update.state == member_state::dead) {
        this->tombstones[update.id] = now + this->options.tombstone;
    }
}

auto membership::shift_deadlines(core::time_point now) -> void
{
    const auto previous = std::exchange(this->last_tick, now);
    if (!previous) {
        return;
    }
    const auto passed = now - *previous;
    if (passed <= this->options.interval * late_rounds) {
        return;
    }
    for (auto& [id, deadline] : this->suspicions) {
        deadline += passed;
    }
    // Results of pings that ran out during the pause prove nothing.
    this->probes.clear();
}

auto membership::end_suspicions(core::time_point now) -> void
{
    auto ended = std::vector<member>();
    for (const auto& [id, deadline] : this->suspicions) {
        if (now >= deadline) {
            ended.push_back(*this->known.find(id));
        }
    }
    for (auto& dead : ended) {
        dead.state = member_state::dead;
        this->merge(dead, now);
    }
    std::erase_if(this->tombstones, [this, now](const auto& entry) {
        if (now < entry.second) {
            return false;
        }
        this->known.forget(entry.first);
        this->probes.erase(entry.first);
        return true;
    });
}

auto membership::suspect(const core::node_id& id, core::time_point now) -> void
{
    const auto* record = this->known.find(id);
    if (record == nullptr || record->state == member_state::dead ||
        record->state == member_state::suspect) {
        return;
    }
    auto doubted = *record;
    doubted.state = record->state == member_state::leaving
                        ? member_state::dead
                        : member_state::suspect;
    this->merge(doubted, now);
}

/// A second probe would discard the results of the first, which come later
/// than the next round when relays are asked.
auto membership::has_open_probe(const core::node_id& id) const -> bool
{
    const auto found = this->probes.find(id);
    return found != this->probes.end() && !found->second.ended;
}

auto membership::next_target() -> std::optional<member>
{
    const auto members = this->others();
    auto remote = members;
    const auto& zone = this->known.self().zone;
    std::erase_if(remote,
                  [&zone](const member& peer) { return peer.zone == zone; });
    const auto is_remote_turn =
        this->rounds % this->options.remote_every == 0 ||
        remote.size() == members.size();
    if (is_remote_turn && !remote.empty()) {
        return remote[this->random.below(remote.size())];
    }
    while (!this->round_robin.empty()) {
        const auto* next = this->known.find(this->round_robin.back());
        this->round_robin.pop_back();
        if (next != nullptr && next->state != member_state::dead) {
            return *next;
        }
    }
    auto local = members;
    std::erase_if(local,
                  [&zone](const member& peer) { return peer.zone != zone; });
    if (local.empty()) {
        return std::nullopt;
    }
    shuffle(local, this->random);
    for (const auto& peer : local) {
        this->round_robin.push_back(peer.id);
    }
    const auto next = local.back();
    this->round_robin.pop_back();
    return next;
}

auto membership::next_contacts() -> std::vector<member>
{
    const auto is_alone = this->others().empty();
    if (!is_alone && this->rounds % this->options.contact_every != 0) {
        return {};
    }
    auto candidates = std::vector<member>();
    for (const auto& [id, contact] : this->contacts) {
        const auto* record = this->known.find(id);
        if (record == nullptr) {
            candidates.push_back(contact);
        }
    }
    for (const auto& [id, deadline] : this->tombstones) {
        candidates.push_back(*this->known.find(id));
    }
    shuffle(candidates, this->random);
    const auto most = is_alone ? join_contacts : std::size_t(1);
    candidates.resize(std::min(candidates.size(), most));
    return candidates;
}

auto membership::choose_relays(const member& target) -> std::vector<member>
{
    auto relays = this->others();
    std::erase_if(relays, [&target](const member& peer) {
        return peer.id == target.id || peer.state != member_state::alive;
    });
    shuffle(relays, this->random);
    relays.resize(std::min(relays.size(), this->options.relays));
    return relays;
}

auto membership::others() const -> std::vector<member>
{
    auto members = this->known.members();
    std::erase_if(members, [this](const member& peer) {
        return peer.id == this->known.self().id;
    });
    return members;
}

auto membership::fill_updates(gossip_message& message, std::uint64_t peer_view,
                              bool wants_all) -> void
{
    message.view = this->known.view();
    if (wants_all) {
        message.updates = this->known.members();
        return;
    }
    message.updates = this->known.take_updates(this->options.max_updates);
    if (peer_view != this->known.view()) {
        const auto extra =
            this->known.sample(this->options.max_updates, this->random);
        message.updates.insert(message.updates.end(), extra.begin(),
                               extra.end());
    }
}

} // namespace almondtiller::fleet
