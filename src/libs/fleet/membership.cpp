#include "fleet/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondtiller::fleet {

namespace {

/// When more intervals than this have passed between two rounds, the process
/// was paused.
constexpr auto max_late_intervals = 3;

} // namespace

membership::membership(const member& self, const membership_options& options,
                       std::uint64_t seed)
    : options(options), member_list(self), random(seed)
{
    // Nodes that start together must not ping other zones in the same round.
    this->rounds = this->random.below(options.remote_ping_period);
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
    auto listed_ids = std::set<core::node_id>{this->member_list.self().id};
    for (const auto& record : listed) {
        listed_ids.insert(record.id);
        if (record.id != this->member_list.self().id &&
            this->member_list.merge_without_gossip(record)) {
            this->suspicions.erase(record.id);
            this->tombstones.erase(record.id);
        }
    }
    auto unlisted = std::vector<core::node_id>();
    this->member_list.visit([&](const member& peer) {
        if (!listed_ids.contains(peer.id)) {
            unlisted.push_back(peer.id);
        }
    });
    for (const auto& id : unlisted) {
        this->member_list.remove(id);
        this->suspicions.erase(id);
        this->tombstones.erase(id);
        this->probes.erase(id);
    }
}

auto membership::set_incarnation(std::uint64_t incarnation) -> void
{
    this->member_list.raise_incarnation(incarnation);
}

auto membership::probe(const core::node_id& id) -> std::vector<probe_request>
{
    const auto* target = this->member_list.find(id);
    if (target == nullptr || !this->is_live_peer(*target) ||
        this->has_open_probe(id)) {
        return {};
    }
    const auto probe_id = this->next_probe_id++;
    this->probes[id] = {probe_id, 0, false};
    return {{probe_id, std::nullopt, *target}};
}

auto membership::tick(core::time_point now) -> std::vector<probe_request>
{
    this->extend_suspicions(now);
    this->expire_suspicions_and_tombstones(now);
    ++this->rounds;
    auto requests = std::vector<probe_request>();
    if (const auto target = this->choose_target()) {
        requests = this->probe(target->id);
    }
    for (const auto& contact : this->choose_contacts()) {
        requests.push_back({0, std::nullopt, contact});
    }
    return requests;
}

auto membership::make_ping(const core::node_id& target) -> gossip_message
{
    auto message = gossip_message();
    message.wants_full_table = !this->member_list.has_peers();
    message.table_hash = this->member_list.hash();
    message.updates = this->member_list.take_updates(this->options.max_updates);
    const auto* record = this->member_list.find(target);
    const auto is_suspect_or_dead = record != nullptr &&
                                    record->state != member_state::alive &&
                                    record->state != member_state::leaving;
    if (is_suspect_or_dead) {
        // The member must receive this record to be able to refute it.
        message.updates.push_back(*record);
    }
    if (record == nullptr || message.wants_full_table || is_suspect_or_dead) {
        message.updates.push_back(this->member_list.self());
    }
    return message;
}

auto membership::on_ping(const gossip_message& ping, core::time_point now)
    -> gossip_message
{
    this->merge(ping.updates, now);
    auto ack = gossip_message();
    this->fill_updates(ack, ping.table_hash, ping.wants_full_table);
    return ack;
}

auto membership::on_ack(const gossip_message& ack, core::time_point now) -> void
{
    this->merge(ack.updates, now);
    if (ack.table_hash != this->member_list.hash()) {
        this->member_list.requeue_self();
    }
}

auto membership::on_updates(const gossip_message& received,
                            core::time_point now) -> void
{
    this->merge(received.updates, now);
}

auto membership::has_unsent_updates() const -> bool
{
    return !this->unsent_updates.empty();
}

auto membership::take_unsent_updates() -> gossip_message
{
    auto message = gossip_message();
    message.table_hash = this->member_list.hash();
    // The same limit as for the answer to a ping.
    const auto limit = 2 * this->options.max_updates;
    while (!this->unsent_updates.empty() && message.updates.size() < limit) {
        const auto first = this->unsent_updates.begin();
        if (const auto* record = this->member_list.find(*first)) {
            message.updates.push_back(*record);
        }
        this->unsent_updates.erase(first);
    }
    return message;
}

auto membership::on_probe_result(const probe_request& request, bool answered,
                                 core::time_point now)
    -> std::vector<probe_request>
{
    const auto found = this->probes.find(request.target.id);
    if (found == this->probes.end() ||
        found->second.probe_id != request.probe_id || found->second.ended) {
        return {};
    }
    auto& probe = found->second;
    if (answered) {
        probe.ended = true;
        return {};
    }
    if (request.relay) {
        probe.pending_relays -= 1;
    } else {
        auto requests = std::vector<probe_request>();
        for (const auto& relay : this->choose_relays(request.target)) {
            requests.push_back({request.probe_id, relay, request.target});
        }
        probe.pending_relays = requests.size();
        if (!requests.empty()) {
            return requests;
        }
    }
    if (probe.pending_relays == 0) {
        probe.ended = true;
        this->suspect(request.target.id, now);
    }
    return {};
}

auto membership::leave() -> void
{
    this->member_list.leave();
    this->unsent_updates.insert(this->member_list.self().id);
}

auto membership::table() const -> const member_table&
{
    return this->member_list;
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
    const auto is_unknown = this->member_list.find(update.id) == nullptr;
    if (is_unknown && update.state == member_state::dead) {
        return;
    }
    if (!this->member_list.merge(update)) {
        return;
    }
    this->unsent_updates.insert(update.id);
    if (update.id == this->member_list.self().id) {
        return;
    }
    this->suspicions.erase(update.id);
    this->tombstones.erase(update.id);
    const auto is_suspect_or_dead = update.state == member_state::suspect ||
                                    update.state == member_state::dead;
    if (is_suspect_or_dead && update.zone != this->member_list.self().zone) {
        this->suspect_zone = update.zone;
    }
    if (update.state == member_state::suspect) {
        this->suspicions[update.id] = now + this->options.suspicion_timeout;
    }
    if (update.state == member_state::dead) {
        this->tombstones[update.id] = now + this->options.tombstone_retention;
    }
}

auto membership::extend_suspicions(core::time_point now) -> void
{
    const auto previous = std::exchange(this->last_tick, now);
    if (!previous) {
        return;
    }
    const auto passed = now - *previous;
    if (passed <= this->options.interval * max_late_intervals) {
        return;
    }
    for (auto& [id, deadline] : this->suspicions) {
        deadline += passed;
    }
    // Pings that timed out during the pause do not show that a member failed.
    this->probes.clear();
}

auto membership::expire_suspicions_and_tombstones(core::time_point now) -> void
{
    auto expired = std::vector<member>();
    for (const auto& [id, deadline] : this->suspicions) {
        if (now >= deadline) {
            expired.push_back(*this->member_list.find(id));
        }
    }
    for (auto& dead : expired) {
        dead.state = member_state::dead;
        this->merge(dead, now);
    }
    std::erase_if(this->tombstones, [this, now](const auto& entry) {
        if (now < entry.second) {
            return false;
        }
        this->member_list.remove(entry.first);
        this->probes.erase(entry.first);
        return true;
    });
}

auto membership::suspect(const core::node_id& id, core::time_point now) -> void
{
    const auto* record = this->member_list.find(id);
    if (record == nullptr || record->state == member_state::dead ||
        record->state == member_state::suspect) {
        return;
    }
    auto changed = *record;
    changed.state = record->state == member_state::leaving
                        ? member_state::dead
                        : member_state::suspect;
    this->merge(changed, now);
}

/// Used to prevent a second probe of the same member, which would discard the
/// results of the first. Results of indirect pings arrive after the start of
/// the next round.
auto membership::has_open_probe(const core::node_id& id) const -> bool
{
    const auto found = this->probes.find(id);
    return found != this->probes.end() && !found->second.ended;
}

auto membership::fill_updates(gossip_message& message,
                              std::uint64_t peer_table_hash,
                              bool wants_full_table) -> void
{
    message.table_hash = this->member_list.hash();
    if (wants_full_table) {
        message.updates = this->member_list.members();
        return;
    }
    message.updates = this->member_list.take_updates(this->options.max_updates);
    if (peer_table_hash != this->member_list.hash()) {
        const auto extra =
            this->member_list.sample(this->options.max_updates, this->random);
        message.updates.insert(message.updates.end(), extra.begin(),
                               extra.end());
    }
}

} // namespace almondtiller::fleet
