#include "services/gateway/owner_choice.h"
#include "services/gateway/peer_mesh_state.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto peer_mesh::state::is_large_fleet() const -> bool
{
    return this->links.size() >= max_small_fleet;
}

auto peer_mesh::state::interval(const peer_link& link) const
    -> core::milliseconds
{
    if (!this->is_large_fleet()) {
        return heartbeat_interval;
    }
    const auto is_busy = link.is_pinned || !link.calls.empty();
    return is_busy ? busy_heartbeat_interval : idle_heartbeat_interval;
}

auto peer_mesh::state::reconnect_delay(const peer_link& link) const
    -> core::milliseconds
{
    return this->is_large_fleet() ? reconnect_base_delay * (1 << link.failures)
                                  : heartbeat_interval;
}

auto peer_mesh::state::is_same_process(const peer_link& link,
                                       const adapter::node_entry& entry) const
    -> bool
{
    const auto has_recent_data =
        link.stream &&
        this->event_loop.now() - link.last_received_at < min_restart_time;
    return link.view.entry.peers == entry.peers &&
           (has_recent_data || link.is_connecting);
}

auto peer_mesh::state::update_gossip(
    const std::vector<adapter::node_entry>& members) -> void
{
    this->gossip.set_members(members);
    this->start_gossip();
    this->apply_gossip();
}

auto peer_mesh::state::start_gossip() -> void
{
    if (this->is_joined && this->is_large_fleet() &&
        !std::exchange(this->is_gossiping, true)) {
        this->gossip.start();
    }
}

auto peer_mesh::state::apply_gossip() -> void
{
    if (!this->is_large_fleet()) {
        return;
    }
    const auto now = this->event_loop.now();
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
        this->event_loop.post([self = this->shared_from_this()]() {
            self->is_change_posted = false;
            if (self->changed) {
                self->changed();
            }
        });
    }
}

auto peer_mesh::state::has_missed_heartbeats(const peer_link& link) const
    -> bool
{
    const auto now = this->event_loop.now();
    const auto timeout = this->interval(link) * max_missed_heartbeats;
    if (!this->is_large_fleet()) {
        return now - link.last_received_at > timeout;
    }
    // An idle link carries no data between heartbeats, so only the time since
    // an unanswered heartbeat counts.
    return link.unanswered_since > link.last_received_at &&
           now - link.unanswered_since > timeout;
}

auto peer_mesh::state::maintain_link(const core::node_id& node, peer_link& link)
    -> void
{
    const auto now = this->event_loop.now();
    if (link.stream && this->has_missed_heartbeats(link)) {
        this->drop_link(link, "silent");
    }
    const auto is_wanted = !this->is_large_fleet() || link.is_pinned;
    if (is_wanted && !link.stream && !link.is_connecting &&
        link.connect_not_before <= now) {
        this->connect(link);
    }
    const auto is_idle = link.calls.empty() && !link.is_heartbeat_pending &&
                         now - link.last_called_at > idle_link_timeout;
    if (link.stream && !is_wanted && is_idle) {
        this->close_link(link);
    }
    if (now - link.heartbeat_sent_at >= this->interval(link)) {
        this->send_heartbeat(link);
    }
    if (this->is_large_fleet() && link.is_in_backoff &&
        link.connect_not_before <= now) {
        link.is_in_backoff = false;
        this->set_alive(link, this->gossip.is_alive(node), "gossip");
    }
}

auto peer_mesh::state::tick() -> void
{
    for (auto& [node, link] : this->links) {
        this->maintain_link(node, link);
    }
    this->ticker->start(heartbeat_interval);
}

} // namespace almondtiller::gateway
