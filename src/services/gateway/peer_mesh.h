#pragma once

#include "core/result.h"
#include "event/tcp_listener.h"
#include "event/timer.h"
#include "platform/entries.h"
#include "services/gateway/event_log.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::gateway {

/// Another node as this one sees it.
struct peer_view
{
    adapter::node_entry entry;
    /// It answers heartbeats.
    bool is_alive = false;

    auto operator==(const peer_view&) const -> bool = default;
};

/// Calls between nodes over HTTP/2 connections, and which nodes are alive. In a
/// small fleet each node keeps a connection to each other and finds by its
/// heartbeats whether it lives. In a large one connections are made for calls
/// and for pinned nodes only, with heartbeats over those, and gossip finds who
/// lives. A node that misses heartbeats, or whose connection breaks, is not
/// alive and its calls fail at once.
class peer_mesh
{
public:
    using reply = std::function<void(core::result<std::string>)>;
    /// Handles a message; the reply may come later. A handler may return an
    /// action that is called if the sender gives the message up.
    using handler = std::function<std::function<void()>(
        const core::node_id& sender, std::string body, reply answer)>;

    peer_mesh(event::loop& owner, adapter::node_entry self, event_log& log);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    auto operator=(const peer_mesh&) -> peer_mesh& = delete;

    auto listen() -> std::error_code;
    auto handle(const std::string& topic, handler handles) -> void;

    /// \param members All nodes that are registered, this one too.
    auto set_members(const std::vector<adapter::node_entry>& members) -> void;

    /// \param status Asked at each heartbeat.
    auto set_status(std::function<std::string()> status) -> void;

    /// Called when a node becomes alive or stops being so.
    auto on_change(std::function<void()> hook) -> void;
    /// Called when a node's connection to this one has ended.
    auto on_sender_lost(std::function<void(const core::node_id&)> hook) -> void;
    /// Keeps connections to these nodes, whatever is called.
    auto set_pinned(const std::vector<core::node_id>& nodes) -> void;

    /// Called with what a node says of itself, with heartbeats and gossip.
    auto on_status(
        std::function<void(const core::node_id&, const std::string&)> hook)
        -> void;

    /// Sends a message.
    /// \return A number for cancel().
    auto call(const core::node_id& node, const std::string& topic,
              std::string body, core::milliseconds limit, reply answer)
        -> std::uint64_t;
    auto cancel(std::uint64_t call) -> void;

    /// Tells connected nodes the status now.
    auto beat_now() -> void;

    /// This node takes requests from now on.
    auto join() -> void;

    /// Tells all nodes that this one leaves.
    auto leave() -> void;

    /// Calls \a hook with each other node, by id.
    auto visit(const std::function<void(const peer_view&)>& hook) const -> void;

    /// \return The node as this one sees it, not alive if it isn't registered.
    [[nodiscard]] auto find(const core::node_id& node) const -> peer_view;

    /// \return Whether there is a connection to the node.
    [[nodiscard]] auto is_connected(const core::node_id& node) const -> bool;
    [[nodiscard]] auto is_alive(const core::node_id& node) const -> bool;

private:
    struct state;
    std::shared_ptr<state> data;
};

} // namespace almondtiller::gateway
