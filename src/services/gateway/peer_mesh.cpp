#include "services/gateway/peer_mesh.h"

#include "fleet/fleet_errc.h"
#include "h2/h2_session.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondtiller::gateway {

namespace {

using fleet::fleet_errc;

/// Time between heartbeats to a peer in a small fleet; a node that misses
/// them for alive_beats intervals is taken as gone.
constexpr auto beat_interval = core::milliseconds(250);
constexpr auto alive_beats = 4;
/// Each peer adds that much to the interval, so that the heartbeats of a
/// large fleet do not use up small machines.
constexpr auto beat_interval_per_peer = core::milliseconds(10);
constexpr auto connect_limit = core::milliseconds(400);
constexpr auto beat_topic = "beat";

} // namespace

/// An outgoing connection to one peer.
struct peer_link
{
    peer_view view;
    std::shared_ptr<event::tcp_stream> stream;
    std::unique_ptr<h2::h2_session> session;
    bool is_connecting = false;
    bool is_flushing = false;
    bool is_beating = false;
    core::time_point heard;
    core::time_point connect_not_before;
    /// Calls under way, by stream.
    std::map<std::int32_t, std::uint64_t> calls;
};

/// A call, whichever link carries it.
struct peer_call
{
    core::node_id node;
    std::int32_t stream = 0;
    peer_mesh::reply answer;
    std::unique_ptr<event::timer> limit;
};

/// An incoming connection.
struct peer_inbound
{
    std::shared_ptr<event::tcp_stream> stream;
    std::unique_ptr<h2::h2_session> session;
    core::node_id sender;
    std::map<std::int32_t, std::function<void()>> cancels;
    bool is_flushing = false;
    bool is_open = true;
};

struct peer_mesh::state : std::enable_shared_from_this<state>
{
    event::loop& owner;
    adapter::node_entry self;
    event_log& log;
    std::unique_ptr<event::tcp_listener> listener;
    std::map<std::string, handler> handlers;
    std::map<core::node_id, peer_link> links;
    std::map<std::uint64_t, peer_call> calls;
    std::set<std::shared_ptr<peer_inbound>> inbound;
    std::function<std::string()> status;
    std::function<void()> changed;
    std::function<void(const core::node_id&)> sender_lost;
    std::function<void(const core::node_id&, const std::string&)> status_heard;
    std::uint64_t last_call = 0;
    std::unique_ptr<event::timer> ticker;

    state(event::loop& loop, adapter::node_entry entry, event_log& lines)
        : owner(loop), self(std::move(entry)), log(lines)
    {}

    [[nodiscard]] auto interval() const -> core::milliseconds
    {
        return std::max(beat_interval, beat_interval_per_peer *
                                           std::int64_t(this->links.size()));
    }

    auto set_alive(peer_link& link, bool alive, std::string_view reason) -> void
    {
        if (link.view.is_alive == alive) {
            return;
        }
        link.view.is_alive = alive;
        this->log.write(severity::notice, alive ? "peer_alive" : "peer_lost",
                        {{"peer", link.view.entry.node.str()},
                         {"reason", std::string(reason)}});
        if (this->changed) {
            this->owner.post(
                [self = this->shared_from_this()]() { self->changed(); });
        }
    }

    auto drop_link(peer_link& link, std::string_view reason) -> void
    {
        if (link.stream) {
            std::exchange(link.stream, nullptr)->close();
        }
        if (link.session) {
            // May be called from within the session.
            this->owner.post([old = std::shared_ptr<h2::h2_session>(
                                  std::move(link.session))]() {});
        }
        link.connect_not_before = this->owner.now() + this->interval();
        link.is_beating = false;
        this->set_alive(link, false, reason);
        for (const auto& [stream, call] : std::exchange(link.calls, {})) {
            this->finish(call, make_error_code(fleet_errc::peer_unreachable));
        }
    }

    auto finish(std::uint64_t id, core::result<std::string> answer) -> void
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
        this->owner.post([done = std::move(call.answer),
                          value = std::move(answer)]() { done(value); });
    }

    auto flush(const core::node_id& node) -> void
    {
        const auto found = this->links.find(node);
        if (found == this->links.end() || found->second.is_flushing) {
            return;
        }
        found->second.is_flushing = true;
        this->owner.post([self = this->shared_from_this(), node]() {
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

    auto connect(peer_link& link) -> void
    {
        link.is_connecting = true;
        const auto node = link.view.entry.node;
        const auto address = link.view.entry.peers;
        event::tcp_stream::connect(
            this->owner, address, connect_limit,
            [weak = this->weak_from_this(), node,
             address](std::shared_ptr<event::tcp_stream> stream,
                      std::error_code error) {
                if (const auto self = weak.lock()) {
                    self->connected(node, address, std::move(stream), error);
                }
            });
    }

    auto connected(const core::node_id& node, const core::endpoint& address,
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
            link.connect_not_before = this->owner.now() + this->interval();
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
        link.session = std::make_unique<h2::h2_session>(h2::h2_role::client,
                                                        std::move(hooks));
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
        link.heard = this->owner.now();
        this->flush(node);
        this->beat(link);
    }

    auto on_link_bytes(const core::node_id& node, std::string_view bytes)
        -> void
    {
        const auto found = this->links.find(node);
        if (found == this->links.end() || !found->second.session) {
            return;
        }
        if (found->second.session->receive(bytes)) {
            this->drop_link(found->second, "malformed_message");
            return;
        }
        found->second.heard = this->owner.now();
        this->flush(node);
    }

    auto beat(peer_link& link) -> void
    {
        if (link.is_beating || !link.session) {
            return;
        }
        link.is_beating = true;
        const auto node = link.view.entry.node;
        this->send(link, beat_topic, this->status ? this->status() : "",
                   this->interval() * alive_beats,
                   [this, node](core::result<std::string> answer) {
                       const auto found = this->links.find(node);
                       if (found == this->links.end()) {
                           return;
                       }
                       auto& heard = found->second;
                       heard.is_beating = false;
                       if (!answer) {
                           return;
                       }
                       heard.heard = this->owner.now();
                       const auto is_news = heard.view.status != answer.value();
                       heard.view.status = answer.value();
                       this->set_alive(heard, true, "heartbeat");
                       if (this->status_heard) {
                           this->status_heard(node, heard.view.status);
                       }
                       if (is_news && this->changed) {
                           this->changed();
                       }
                   });
    }

    auto send(peer_link& link, const std::string& topic, std::string body,
              core::milliseconds limit, reply answer) -> std::uint64_t
    {
        const auto id = ++this->last_call;
        auto& call = this->calls[id];
        call.node = link.view.entry.node;
        call.answer = std::move(answer);
        const auto fail = [this, id](fleet_errc code) {
            this->finish(id, make_error_code(code));
        };
        if (!link.session) {
            fail(fleet_errc::peer_unreachable);
            return id;
        }
        const auto stream = link.session->submit_request(
            {topic, this->self.node.str(), std::move(body)});
        if (!stream) {
            fail(fleet_errc::too_many_calls);
            return id;
        }
        call.stream = stream.value();
        link.calls[call.stream] = id;
        call.limit = std::make_unique<event::timer>(this->owner, [this, id]() {
            this->give_up(id, fleet_errc::peer_timeout);
        });
        call.limit->start(limit);
        this->flush(call.node);
        return id;
    }

    auto give_up(std::uint64_t id, fleet_errc code) -> void
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

    auto tick() -> void
    {
        const auto now = this->owner.now();
        for (auto& [node, link] : this->links) {
            if (link.stream &&
                now - link.heard > this->interval() * alive_beats) {
                this->drop_link(link, "silent");
            }
            if (!link.stream && !link.is_connecting &&
                link.connect_not_before <= now) {
                this->connect(link);
            }
            this->beat(link);
        }
        this->ticker->start(this->interval());
    }

    auto accept(std::shared_ptr<event::tcp_stream> stream) -> void
    {
        auto connection = std::make_shared<peer_inbound>();
        connection->stream = std::move(stream);
        const auto weak = std::weak_ptr<peer_inbound>(connection);
        auto hooks = h2::h2_hooks();
        hooks.on_request = [this, weak](std::int32_t id,
                                        h2::h2_request request) {
            if (const auto open = weak.lock()) {
                this->on_request(open, id, std::move(request));
            }
        };
        hooks.on_cancelled = [weak](std::int32_t id) {
            const auto open = weak.lock();
            if (!open) {
                return;
            }
            const auto found = open->cancels.find(id);
            if (found != open->cancels.end()) {
                const auto action = std::move(found->second);
                open->cancels.erase(found);
                action();
            }
        };
        connection->session = std::make_unique<h2::h2_session>(
            h2::h2_role::server, std::move(hooks));
        this->inbound.insert(connection);
        connection->stream->start(
            [this, weak](std::string_view bytes) {
                const auto open = weak.lock();
                if (!open || !open->is_open) {
                    return;
                }
                if (open->session->receive(bytes)) {
                    this->end_inbound(open);
                    return;
                }
                this->flush(open);
            },
            [this, weak](std::error_code) {
                if (const auto open = weak.lock()) {
                    this->end_inbound(open);
                }
            });
    }

    auto flush(const std::shared_ptr<peer_inbound>& connection) -> void
    {
        if (std::exchange(connection->is_flushing, true)) {
            return;
        }
        this->owner.post([connection]() {
            connection->is_flushing = false;
            if (connection->is_open) {
                connection->stream->write(connection->session->take_output());
            }
        });
    }

    auto end_inbound(const std::shared_ptr<peer_inbound>& connection) -> void
    {
        if (!std::exchange(connection->is_open, false)) {
            return;
        }
        connection->stream->close();
        const auto cancels = std::exchange(connection->cancels, {});
        for (const auto& [stream, action] : cancels) {
            action();
        }
        this->inbound.erase(connection);
        // The session may be below on the stack.
        this->owner.post([connection]() {});
        if (this->sender_lost && !connection->sender.empty()) {
            this->sender_lost(connection->sender);
        }
    }

    auto on_request(const std::shared_ptr<peer_inbound>& connection,
                    std::int32_t id, h2::h2_request request) -> void
    {
        connection->sender = core::node_id(request.sender);
        const auto weak = std::weak_ptr<peer_inbound>(connection);
        const auto answer = [this, weak,
                             id](const core::result<std::string>& value) {
            const auto open = weak.lock();
            if (!open || !open->is_open) {
                return;
            }
            open->cancels.erase(id);
            open->session->submit_answer(id, value);
            this->flush(open);
        };
        if (request.topic == beat_topic) {
            if (this->status_heard) {
                this->status_heard(connection->sender, request.body);
            }
            answer(this->status ? this->status() : std::string());
            return;
        }
        const auto found = this->handlers.find(request.topic);
        if (found == this->handlers.end()) {
            answer(make_error_code(fleet_errc::unknown_topic));
            return;
        }
        auto is_answered = std::make_shared<bool>(false);
        auto cancel = found->second(
            connection->sender, std::move(request.body),
            [answer, is_answered](const core::result<std::string>& value) {
                *is_answered = true;
                answer(value);
            });
        if (cancel && !*is_answered) {
            connection->cancels[id] = std::move(cancel);
        }
    }
};

peer_mesh::peer_mesh(event::loop& owner, adapter::node_entry self,
                     event_log& log)
    : data(std::make_shared<state>(owner, std::move(self), log))
{}

peer_mesh::~peer_mesh() = default;

auto peer_mesh::listen() -> std::error_code
{
    auto* kept = this->data.get();
    kept->listener = std::make_unique<event::tcp_listener>(
        kept->owner, [kept](std::shared_ptr<event::tcp_stream> stream) {
            kept->accept(std::move(stream));
        });
    const auto error = kept->listener->listen(kept->self.peers);
    if (kept->self.peers.port == 0) {
        kept->self.peers.port = std::uint16_t(kept->listener->port());
    }
    kept->ticker =
        std::make_unique<event::timer>(kept->owner, [kept]() { kept->tick(); });
    kept->ticker->start(core::milliseconds(0));
    return error;
}

auto peer_mesh::handle(const std::string& topic, handler handles) -> void
{
    this->data->handlers[topic] = std::move(handles);
}

auto peer_mesh::set_members(const std::vector<adapter::node_entry>& members)
    -> void
{
    auto& links = this->data->links;
    auto wanted = std::set<core::node_id>();
    for (const auto& member : members) {
        if (member.node == this->data->self.node) {
            continue;
        }
        wanted.insert(member.node);
        auto& link = links[member.node];
        if (link.view.entry != member) {
            if (!link.view.entry.node.empty()) {
                this->data->drop_link(link, "replaced");
            }
            link.view.entry = member;
            link.connect_not_before = {};
        }
    }
    for (auto& [node, link] : links) {
        if (!wanted.contains(node)) {
            this->data->drop_link(link, "not_registered");
        }
    }
    std::erase_if(links, [&wanted](const auto& item) {
        return !wanted.contains(item.first);
    });
    if (this->data->ticker) {
        this->data->ticker->start(core::milliseconds(0));
    }
}

auto peer_mesh::set_status(std::function<std::string()> status) -> void
{
    this->data->status = std::move(status);
}

auto peer_mesh::on_change(std::function<void()> hook) -> void
{
    this->data->changed = std::move(hook);
}

auto peer_mesh::on_sender_lost(std::function<void(const core::node_id&)> hook)
    -> void
{
    this->data->sender_lost = std::move(hook);
}

auto peer_mesh::on_status(
    std::function<void(const core::node_id&, const std::string&)> hook) -> void
{
    this->data->status_heard = std::move(hook);
}

auto peer_mesh::call(const core::node_id& node, const std::string& topic,
                     std::string body, core::milliseconds limit, reply answer)
    -> std::uint64_t
{
    const auto found = this->data->links.find(node);
    if (found == this->data->links.end()) {
        this->data->owner.post([answer = std::move(answer)]() {
            answer(make_error_code(fleet_errc::peer_unreachable));
        });
        return 0;
    }
    return this->data->send(found->second, topic, std::move(body), limit,
                            std::move(answer));
}

auto peer_mesh::cancel(std::uint64_t call) -> void
{
    const auto found = this->data->calls.find(call);
    if (found != this->data->calls.end()) {
        found->second.answer = [](const core::result<std::string>&) {
        };
        this->data->give_up(call, fleet_errc::peer_timeout);
    }
}

auto peer_mesh::beat_now() -> void
{
    for (auto& [node, link] : this->data->links) {
        link.is_beating = false;
        this->data->beat(link);
    }
}

auto peer_mesh::peers() const -> std::vector<peer_view>
{
    auto views = std::vector<peer_view>();
    for (const auto& [node, link] : this->data->links) {
        views.push_back(link.view);
    }
    return views;
}

auto peer_mesh::is_alive(const core::node_id& node) const -> bool
{
    const auto found = this->data->links.find(node);
    return found != this->data->links.end() && found->second.view.is_alive;
}

} // namespace almondtiller::gateway
