#include "fleet/membership.h"

#include <algorithm>
#include <utility>

namespace almondtiller::fleet {

namespace {

/// Number of contacts that a node without peers pings in one round.
constexpr auto max_join_contacts = std::size_t(3);

template <typename Member>
auto shuffle(std::vector<Member>& members, core::random_source& random) -> void
{
    for (auto left = members.size(); left > 1; --left) {
        std::swap(members[left - 1], members[random.below(left)]);
    }
}

} // namespace

auto membership::choose_target() -> std::optional<member>
{
    const auto& zone = this->member_list.self().zone;
    auto local = std::vector<const member*>();
    auto remote = std::vector<const member*>();
    this->member_list.visit([&](const member& peer) {
        if (this->is_live_peer(peer)) {
            (peer.zone == zone ? local : remote).push_back(&peer);
        }
    });
    if (const auto zone_to_check = std::exchange(this->suspect_zone, {})) {
        // A zone may fail as a whole, and only few pings enter it from other
        // zones. One more member of that zone is therefore pinged now.
        auto zone_peers = remote;
        std::erase_if(zone_peers, [&zone_to_check](const member* peer) {
            return peer->zone != *zone_to_check ||
                   peer->state != member_state::alive;
        });
        if (!zone_peers.empty()) {
            return *zone_peers[this->random.below(zone_peers.size())];
        }
    }
    const auto is_remote_turn =
        this->rounds % this->options.remote_ping_period == 0 || local.empty();
    if (is_remote_turn && !remote.empty()) {
        return *remote[this->random.below(remote.size())];
    }
    while (!this->round_robin.empty()) {
        const auto* next = this->member_list.find(this->round_robin.back());
        this->round_robin.pop_back();
        if (next != nullptr && next->state != member_state::dead) {
            return *next;
        }
    }
    if (local.empty()) {
        return std::nullopt;
    }
    shuffle(local, this->random);
    for (const auto* peer : local) {
        this->round_robin.push_back(peer->id);
    }
    this->round_robin.pop_back();
    return *local.back();
}

auto membership::choose_contacts() -> std::vector<member>
{
    const auto is_alone = !this->member_list.has_peers();
    if (!is_alone && this->rounds % this->options.contact_ping_period != 0) {
        return {};
    }
    auto candidates = std::vector<member>();
    for (const auto& [id, contact] : this->contacts) {
        const auto* record = this->member_list.find(id);
        if (record == nullptr) {
            candidates.push_back(contact);
        }
    }
    for (const auto& [id, deadline] : this->tombstones) {
        candidates.push_back(*this->member_list.find(id));
    }
    shuffle(candidates, this->random);
    const auto limit = is_alone ? max_join_contacts : std::size_t(1);
    candidates.resize(std::min(candidates.size(), limit));
    return candidates;
}

auto membership::choose_receivers() -> std::vector<member>
{
    return this->choose_alive(this->options.receiver_count,
                              this->member_list.self().id);
}

auto membership::choose_relays(const member& target) -> std::vector<member>
{
    return this->choose_alive(this->options.relay_count, target.id);
}

auto membership::choose_alive(std::size_t limit, const core::node_id& target)
    -> std::vector<member>
{
    auto candidates = std::vector<const member*>();
    this->member_list.visit([&](const member& peer) {
        if (this->is_live_peer(peer) && peer.id != target &&
            peer.state == member_state::alive) {
            candidates.push_back(&peer);
        }
    });
    auto chosen = std::vector<member>();
    while (!candidates.empty() && chosen.size() < limit) {
        const auto drawn = this->random.below(candidates.size());
        std::swap(candidates[drawn], candidates.back());
        chosen.push_back(*candidates.back());
        candidates.pop_back();
    }
    return chosen;
}

auto membership::is_live_peer(const member& peer) const -> bool
{
    return peer.state != member_state::dead && !this->member_list.is_self(peer);
}

} // namespace almondtiller::fleet
