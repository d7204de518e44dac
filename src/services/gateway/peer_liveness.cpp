#include "services/gateway/owner_choice.h"
#include "services/gateway/peer_mesh_state.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto peer_mesh::state::is_large() const -> bool
{
    return this->links.size() >= small_fleet;
}

auto peer_mesh::state::interval(const peer_link& link) const
    -> core::milliseconds
{
    if (!this->is_large()) {
        return beat_interval;
    }
    const auto is_busy = link.is_pinned || !link.calls.empty();
    return is_busy ? busy_beat_interval : idle_beat_interval;
}

auto peer_mesh::state::reconnect_time(const peer_link& link) const
    -> core::milliseconds
{
    return this->is_large() ? reconnect_pause * (1 << link.failures)
                            : beat_interval;
}

auto peer_mesh::state::reaches(const peer_link& link,
                               const adapter::node_entry& entry) const -> bool
{
    const auto is_heard =
        link.stream && this->owner.now() - link.heard < restart_time;
    return link.view.entry.peers == entry.peers &&
           (is_heard || link.is_connecting);
}

auto peer_mesh::state::update_gossip(
    const std::vector<adapter::node_entry>& members) -> void
{
    this->gossip.set_members(members);
    this->start_gossip();
    this->take_gossip();
}

auto peer_mesh::state::start_gossip() -> void
{
    if (this->is_joined && this->is_large() &&
        !std::exchange(this->is_gossiping, true)) {
        this->gossip.start();
    }
}

auto peer_mesh::state::take_gossip() -> void
{
    if (!this->is_large()) {
        return;
    }
    const auto now = this->owner.now();
    for (auto& [node, link] : this->links) {
        const auto alive = this->gossip.is_alive(node);
        this->set_alive(link, alive && link.connect_not_before <= now,
                        "gossip");
    }
}

auto peer_mesh::state::set_alive(peer_link& link, bool alive,
                                 std::string_view reason) -> void
{
    if (link.view.is_alive == alive) {
        return;
    }
    link.view.is_alive = alive;
    this->log.write(severity::notice, alive ? "peer_alive" : "peer_lost",
                    {{"peer", link.view.entry.node.str()},
                     {"reason", std::string(reason)}});
    // Many nodes may change at once, as when a zone is lost or a new list of
    // members arrives. One call of the hook reports them all.
    if (this->changed && !std::exchange(this->is_change_posted, true)) {
        this->owner.post([self = this->shared_from_this()]() {
            self->is_change_posted = false;
            if (self->changed) {
                self->changed();
            }
        });
    }
}

auto peer_mesh::state::is_silent(const peer_link& link) const -> bool
{
    const auto now = this->owner.now();
    const auto limit = this->interval(link) * alive_beats;
    if (!this->is_large()) {
        return now - link.heard > limit;
    }
    // An idle link carries no data between heartbeats, so only the time since
    // an unanswered heartbeat counts.
    return link.unanswered > link.heard && now - link.unanswered > limit;
}

auto peer_mesh::state::tend(const core::node_id& node, peer_link& link) -> void
{
    const auto now = this->owner.now();
    if (link.stream && this->is_silent(link)) {
        this->drop_link(link, "silent");
    }
    const auto is_wanted = !this->is_large() || link.is_pinned;
    if (is_wanted && !link.stream && !link.is_connecting &&
        link.connect_not_before <= now) {
        this->connect(link);
    }
    const auto is_idle = link.calls.empty() && !link.is_beating &&
                         now - link.called > idle_link_time;
    if (link.stream && !is_wanted && is_idle) {
        this->close_link(link);
    }
    if (now - link.beaten >= this->interval(link)) {
        this->beat(link);
    }
    if (this->is_large() && link.is_paused && link.connect_not_before <= now) {
        link.is_paused = false;
        this->set_alive(link, this->gossip.is_alive(node), "gossip");
    }
}

auto peer_mesh::state::tick() -> void
{
    for (auto& [node, link] : this->links) {
        this->tend(node, link);
    }
    this->ticker->start(beat_interval);
}

} // namespace almondtiller::gateway
