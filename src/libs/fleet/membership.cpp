#include "fleet/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondtiller::fleet {

namespace {

/// When more intervals than this have passed between two rounds, the process
/// was paused.
constexpr auto late_rounds = 3;

} // namespace

membership::membership(const member& self, const membership_options& options,
                       std::uint64_t seed)
    : options(options), known(self), random(seed)
{
    // Nodes that start together must not ping other zones in the same round.
    this->rounds = this->random.below(options.remote_every);
}

auto membership::set_contacts(const std::vector<member>& contacts) -> void
{
    this->contacts.clear();
    for (const auto& contact : contacts) {
        this->contacts.emplace(contact.id, contact);
    }
}

auto membership::set_listed(const std::vector<member>& listed) -> void
{
    auto names = std::set<core::node_id>{this->known.self().id};
    for (const auto& record : listed) {
        names.insert(record.id);
        if (record.id != this->known.self().id && this->known.learn(record)) {
            this->suspicions.erase(record.id);
            this->tombstones.erase(record.id);
        }
    }
    auto withdrawn = std::vector<core::node_id>();
    this->known.visit([&](const member& peer) {
        if (!names.contains(peer.id)) {
            withdrawn.push_back(peer.id);
        }
    });
    for (const auto& id : withdrawn) {
        this->known.forget(id);
        this->suspicions.erase(id);
        this->tombstones.erase(id);
        this->probes.erase(id);
    }
}

auto membership::set_incarnation(std::uint64_t incarnation) -> void
{
    this->known.raise_incarnation(incarnation);
}

auto membership::probe(const core::node_id& id) -> std::vector<probe_order>
{
    const auto* target = this->known.find(id);
    if (target == nullptr || !this->is_other_member(*target) ||
        this->has_open_probe(id)) {
        return {};
    }
    const auto number = this->next_probe++;
    this->probes[id] = {number, 0, false};
    return {{number, std::nullopt, *target}};
}

auto membership::tick(core::time_point now) -> std::vector<probe_order>
{
    this->shift_deadlines(now);
    this->end_suspicions(now);
    ++this->rounds;
    auto orders = std::vector<probe_order>();
    if (const auto target = this->next_target()) {
        orders = this->probe(target->id);
    }
    for (const auto& contact : this->next_contacts()) {
        orders.push_back({0, std::nullopt, contact});
    }
    return orders;
}

auto membership::make_ping(const core::node_id& target) -> gossip_message
{
    auto message = gossip_message();
    message.wants_all = !this->known.has_others();
    message.view = this->known.view();
    message.updates = this->known.take_updates(this->options.max_updates);
    const auto* record = this->known.find(target);
    const auto is_doubted = record != nullptr &&
                            record->state != member_state::alive &&
                            record->state != member_state::leaving;
    if (is_doubted) {
        // The member must receive this record to be able to refute it.
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

auto membership::on_news(const gossip_message& received, core::time_point now)
    -> void
{
    this->merge(received.updates, now);
}

auto membership::has_news() const -> bool
{
    return !this->news.empty();
}

auto membership::take_news() -> gossip_message
{
    auto message = gossip_message();
    message.view = this->known.view();
    // As many as a ping's answer has at the most.
    const auto most = 2 * this->options.max_updates;
    while (!this->news.empty() && message.updates.size() < most) {
        const auto first = this->news.begin();
        if (const auto* record = this->known.find(*first)) {
            message.updates.push_back(*record);
        }
        this->news.erase(first);
    }
    return message;
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
    this->news.insert(this->known.self().id);
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
    if (!this->known.merge(update)) {
        return;
    }
    this->news.insert(update.id);
    if (update.id == this->known.self().id) {
        return;
    }
    this->suspicions.erase(update.id);
    this->tombstones.erase(update.id);
    const auto is_doubted = update.state == member_state::suspect ||
                            update.state == member_state::dead;
    if (is_doubted && update.zone != this->known.self().zone) {
        this->doubted_zone = update.zone;
    }
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
    // Pings that timed out during the pause do not show that a member failed.
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

/// Used to prevent a second probe of the same member, which would discard the
/// results of the first. Results of indirect pings arrive after the start of
/// the next round.
auto membership::has_open_probe(const core::node_id& id) const -> bool
{
    const auto found = this->probes.find(id);
    return found != this->probes.end() && !found->second.ended;
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
