#include "services/gateway/peer_mesh_state.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto peer_mesh::state::close_link(peer_link& link) -> void
{
    if (link.stream) {
        std::exchange(link.stream, nullptr)->close();
    }
    if (link.session) {
        // This function may be called from within the session, so the session
        // is destroyed only after the call stack has unwound.
        this->event_loop.post([old = std::shared_ptr<h2::h2_session>(
                                   std::move(link.session))]() {});
    }
    link.is_heartbeat_pending = false;
}

auto peer_mesh::state::drop_link(peer_link& link, std::string_view reason)
    -> void
{
    this->close_link(link);
    link.connect_not_before =
        this->event_loop.now() + this->reconnect_delay(link);
    link.failures = std::min(link.failures + 1, max_delay_doublings);
    link.is_in_backoff = true;
    this->set_alive(link, false, reason);
    for (const auto& [stream, call] : std::exchange(link.calls, {})) {
        this->finish(call, make_error_code(fleet_errc::peer_unreachable));
    }
    for (const auto& call : std::exchange(link.waiting, {})) {
        this->finish(call.id, make_error_code(fleet_errc::peer_unreachable));
    }
    if (this->is_gossiping) {
        this->gossip.check(link.view.entry.node);
    }
}

auto peer_mesh::state::finish(std::uint64_t id,
                              core::result<std::string> answer) -> void
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    auto call = std::move(found->second);
    this->calls.erase(found);
    const auto link = this->links.find(call.node);
    if (link != this->links.end()) {
        link->second.calls.erase(call.stream);
    }
    this->post_answer(std::move(call.answer), std::move(answer));
}

auto peer_mesh::state::post_answer(reply done, core::result<std::string> value)
    -> void
{
    this->event_loop.post([self = this->shared_from_this(),
                           done = std::move(done), value = std::move(value)]() {
        if (!self->is_closed) {
            done(value);
        }
    });
}

auto peer_mesh::state::close() -> void
{
    this->is_closed = true;
    this->changed = nullptr;
    this->status = nullptr;
    this->caller_lost = nullptr;
    this->status_received = nullptr;
    this->gossip.close();
    this->handlers.clear();
    this->calls.clear();
    this->ticker.reset();
    this->listener.reset();
    for (const auto& [node, link] : this->links) {
        if (link.stream) {
            link.stream->close();
        }
    }
    this->links.clear();
    for (const auto& connection : this->inbound) {
        connection->is_open = false;
        connection->stream->close();
    }
    this->inbound.clear();
}

auto peer_mesh::state::flush(const core::node_id& node) -> void
{
    const auto found = this->links.find(node);
    if (found == this->links.end() || found->second.is_flushing) {
        return;
    }
    found->second.is_flushing = true;
    this->event_loop.post([self = this->shared_from_this(), node]() {
        const auto link = self->links.find(node);
        if (link == self->links.end()) {
            return;
        }
        link->second.is_flushing = false;
        if (link->second.session && link->second.stream) {
            link->second.stream->write(link->second.session->take_output());
        }
    });
}

auto peer_mesh::state::connect(peer_link& link) -> void
{
    link.is_connecting = true;
    const auto node = link.view.entry.node;
    const auto address = link.view.entry.peers;
    event::tcp_stream::connect(
        this->event_loop, address, peer_connect_timeout,
        [weak = this->weak_from_this(), node, address](
            std::shared_ptr<event::tcp_stream> stream, std::error_code error) {
            if (const auto self = weak.lock()) {
                self->on_connected(node, address, std::move(stream), error);
            }
        });
}

auto peer_mesh::state::on_connected(const core::node_id& node,
                                    const core::endpoint& address,
                                    std::shared_ptr<event::tcp_stream> stream,
                                    std::error_code error) -> void
{
    const auto found = this->links.find(node);
    if (found == this->links.end()) {
        return;
    }
    auto& link = found->second;
    link.is_connecting = false;
    if (error || link.view.entry.peers != address) {
        this->drop_link(link, "not_connected");
        return;
    }
    link.stream = std::move(stream);
    auto hooks = h2::h2_hooks();
    hooks.on_answer = [this, node](std::int32_t id,
                                   core::result<std::string> answer) {
        const auto current = this->links.find(node);
        if (current == this->links.end()) {
            return;
        }
        const auto call = current->second.calls.find(id);
        if (call != current->second.calls.end()) {
            this->finish(call->second, std::move(answer));
        }
    };
    link.session =
        std::make_unique<h2::h2_session>(h2::h2_role::client, std::move(hooks));
    const auto weak = this->weak_from_this();
    link.stream->start(
        [weak, node](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->on_link_bytes(node, bytes);
            }
        },
        [weak, node](std::error_code) {
            const auto self = weak.lock();
            if (self && self->links.contains(node)) {
                self->drop_link(self->links[node], "connection_ended");
            }
        });
    link.last_received_at = this->event_loop.now();
    for (const auto& call : std::exchange(link.waiting, {})) {
        this->submit(link, call.id, call.request);
    }
    this->flush(node);
    this->send_heartbeat(link);
}

auto peer_mesh::state::on_link_bytes(const core::node_id& node,
                                     std::string_view bytes) -> void
{
    const auto found = this->links.find(node);
    if (found == this->links.end() || !found->second.session) {
        return;
    }
    if (found->second.session->receive(bytes)) {
        this->drop_link(found->second, "malformed_message");
        return;
    }
    found->second.last_received_at = this->event_loop.now();
    this->flush(node);
}

auto peer_mesh::state::send_heartbeat(peer_link& link) -> void
{
    if (link.is_heartbeat_pending || !link.session) {
        return;
    }
    link.is_heartbeat_pending = true;
    link.heartbeat_sent_at = this->event_loop.now();
    if (link.unanswered_since <= link.last_received_at) {
        link.unanswered_since = link.heartbeat_sent_at;
    }
    const auto node = link.view.entry.node;
    this->send(link, heartbeat_topic, this->status ? this->status() : "",
               this->interval(link) * max_missed_heartbeats,
               [this, node](core::result<std::string> answer) {
                   const auto found = this->links.find(node);
                   if (found == this->links.end()) {
                       return;
                   }
                   auto& peer = found->second;
                   peer.is_heartbeat_pending = false;
                   if (!answer) {
                       return;
                   }
                   peer.last_received_at = this->event_loop.now();
                   peer.failures = 0;
                   this->set_alive(peer, true, "heartbeat");
                   if (this->status_received) {
                       this->status_received(node, answer.value());
                   }
               });
}

auto peer_mesh::state::send(peer_link& link, const std::string& topic,
                            std::string body, core::milliseconds timeout,
                            reply answer) -> std::uint64_t
{
    const auto id = ++this->last_call;
    auto& call = this->calls[id];
    call.node = link.view.entry.node;
    call.answer = std::move(answer);
    call.timeout_timer =
        std::make_unique<event::timer>(this->event_loop, [this, id]() {
            this->cancel_call(id, fleet_errc::peer_timeout);
        });
    call.timeout_timer->start(timeout);
    const auto request =
        h2::h2_request{topic, this->self.node.str(), std::move(body)};
    if (link.session) {
        this->submit(link, id, request);
    } else if (this->is_large_fleet() &&
               link.connect_not_before <= this->event_loop.now()) {
        link.waiting.push_back({id, request});
        if (!link.is_connecting) {
            this->connect(link);
        }
    } else {
        this->finish(id, make_error_code(fleet_errc::peer_unreachable));
    }
    return id;
}

auto peer_mesh::state::submit(peer_link& link, std::uint64_t id,
                              const h2::h2_request& request) -> void
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    const auto stream = link.session->submit_request(request);
    if (!stream) {
        this->finish(id, make_error_code(fleet_errc::too_many_calls));
        return;
    }
    found->second.stream = stream.value();
    link.calls[stream.value()] = id;
    if (request.topic != heartbeat_topic) {
        link.last_called_at = this->event_loop.now();
    }
    this->flush(link.view.entry.node);
}

auto peer_mesh::state::cancel_call(std::uint64_t id, fleet_errc code) -> void
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    const auto node = found->second.node;
    const auto link = this->links.find(node);
    if (link != this->links.end() && link->second.session) {
        link->second.session->cancel(found->second.stream);
        this->flush(node);
    }
    this->finish(id, make_error_code(code));
}

} // namespace almondtiller::gateway
