#include "services/gateway/peer_mesh_state.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

peer_mesh::peer_mesh(event::loop& event_loop, adapter::node_entry self,
                     event_log& log)
    : data(std::make_shared<state>(event_loop, std::move(self), log))
{}

peer_mesh::~peer_mesh()
{
    this->data->close();
}

auto peer_mesh::set_guard(overload::overload_guard& guard) -> void
{
    this->data->guard = &guard;
}

auto peer_mesh::listen() -> std::error_code
{
    auto* mesh = this->data.get();
    mesh->listener = std::make_unique<event::tcp_listener>(
        mesh->event_loop, [mesh](std::shared_ptr<event::tcp_stream> stream) {
            mesh->accept(std::move(stream));
        });
    const auto error = mesh->listener->listen(mesh->self.peers);
    if (mesh->self.peers.port == 0) {
        mesh->self.peers.port = std::uint16_t(mesh->listener->port());
    }
    mesh->ticker = std::make_unique<event::timer>(mesh->event_loop,
                                                  [mesh]() { mesh->tick(); });
    mesh->ticker->start(core::milliseconds(0));
    mesh->gossip.on_change([mesh]() { mesh->apply_gossip(); });
    return error ? error : mesh->gossip.listen(mesh->self.peers);
}

auto peer_mesh::handle(const std::string& topic, handler topic_handler) -> void
{
    this->data->handlers[topic] = std::move(topic_handler);
}

auto peer_mesh::set_members(const std::vector<adapter::node_entry>& members)
    -> void
{
    auto& links = this->data->links;
    auto registered = std::set<core::node_id>();
    for (const auto& member : members) {
        if (member.node == this->data->self.node) {
            continue;
        }
        registered.insert(member.node);
        auto& link = links[member.node];
        if (link.view.entry != member) {
            const auto is_known = !link.view.entry.node.empty();
            if (is_known && !this->data->is_same_process(link, member)) {
                this->data->drop_link(link, "replaced");
            }
            link.view.entry = member;
            link.connect_not_before = {};
        }
    }
    for (auto& [node, link] : links) {
        if (!registered.contains(node)) {
            this->data->drop_link(link, "not_registered");
        }
    }
    std::erase_if(links, [&registered](const auto& item) {
        return !registered.contains(item.first);
    });
    this->data->update_gossip(members);
    if (this->data->ticker) {
        this->data->ticker->start(core::milliseconds(0));
    }
}

auto peer_mesh::set_status(std::function<std::string()> status) -> void
{
    this->data->status = std::move(status);
    this->data->gossip.set_status(this->data->status);
}

auto peer_mesh::on_change(std::function<void()> hook) -> void
{
    this->data->changed = std::move(hook);
}

auto peer_mesh::on_caller_lost(std::function<void(const core::node_id&)> hook)
    -> void
{
    this->data->caller_lost = std::move(hook);
}

auto peer_mesh::on_status(
    std::function<void(const core::node_id&, const std::string&)> hook) -> void
{
    this->data->status_received = std::move(hook);
    this->data->gossip.on_status(this->data->status_received);
}

auto peer_mesh::set_pinned(const std::vector<core::node_id>& nodes) -> void
{
    const auto pinned = std::set<core::node_id>(nodes.begin(), nodes.end());
    for (auto& [node, link] : this->data->links) {
        link.is_pinned = pinned.contains(node);
    }
}

auto peer_mesh::call(const core::node_id& node, const std::string& topic,
                     std::string body, core::milliseconds timeout, reply answer)
    -> std::uint64_t
{
    const auto found = this->data->links.find(node);
    if (found == this->data->links.end()) {
        this->data->post_answer(std::move(answer),
                                make_error_code(fleet_errc::peer_unreachable));
        return 0;
    }
    return this->data->send(found->second, topic, std::move(body), timeout,
                            std::move(answer));
}

auto peer_mesh::cancel(std::uint64_t call) -> void
{
    const auto found = this->data->calls.find(call);
    if (found != this->data->calls.end()) {
        found->second.answer = [](const core::result<std::string>&) {
        };
        this->data->cancel_call(call, fleet_errc::peer_timeout);
    }
}

auto peer_mesh::send_heartbeat_now() -> void
{
    for (auto& [node, link] : this->data->links) {
        link.is_heartbeat_pending = false;
        this->data->send_heartbeat(link);
    }
}

auto peer_mesh::join() -> void
{
    this->data->is_joined = true;
    this->data->start_gossip();
}

auto peer_mesh::leave() -> void
{
    this->send_heartbeat_now();
    if (this->data->is_gossiping) {
        this->data->gossip.leave();
    }
}

auto peer_mesh::visit(const std::function<void(const peer_view&)>& hook) const
    -> void
{
    for (const auto& [node, link] : this->data->links) {
        hook(link.view);
    }
}

auto peer_mesh::find(const core::node_id& node) const -> peer_view
{
    const auto found = this->data->links.find(node);
    return found == this->data->links.end() ? peer_view() : found->second.view;
}

auto peer_mesh::is_connected(const core::node_id& node) const -> bool
{
    const auto found = this->data->links.find(node);
    return found != this->data->links.end() && found->second.session != nullptr;
}

auto peer_mesh::is_alive(const core::node_id& node) const -> bool
{
    const auto found = this->data->links.find(node);
    return found != this->data->links.end() && found->second.view.is_alive;
}

} // namespace almondtiller::gateway
