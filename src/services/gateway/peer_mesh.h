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

namespace almondtiller::overload {
class overload_guard;
}

namespace almondtiller::gateway {

/// State of another node as seen by this one.
struct peer_view
{
    adapter::node_entry entry;
    /// Whether the node answers heartbeats or, in a large fleet, gossip reports
    /// it as alive.
    bool is_alive = false;

    auto operator==(const peer_view&) const -> bool = default;
};

/// Calls between nodes over HTTP/2 connections, and failure detection. In a
/// small fleet each node keeps a connection to each other node and detects
/// failures by heartbeats. In a large fleet connections are opened only for
/// calls and to pinned nodes, with heartbeats over these connections, and
/// gossip detects which nodes are alive. A node that misses heartbeats or whose
/// connection breaks is not alive, and calls to it fail at once.
class peer_mesh
{
public:
    using reply = std::function<void(core::result<std::string>)>;
    /// Handles a message; the reply may be sent later. A handler may return an
    /// action that is called if the sender cancels the call or its connection
    /// ends before the reply.
    using handler = std::function<std::function<void()>(
        const core::node_id& sender, std::string body, reply answer)>;

    peer_mesh(event::loop& event_loop, adapter::node_entry self,
              event_log& log);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    auto operator=(const peer_mesh&) -> peer_mesh& = delete;

    /// Makes \a guard bound the incoming connections and their messages.
    auto set_guard(overload::overload_guard& guard) -> void;

    auto listen() -> std::error_code;
    auto handle(const std::string& topic, handler topic_handler) -> void;

    /// \param members All registered nodes, including this one.
    auto set_members(const std::vector<adapter::node_entry>& members) -> void;

    /// \param status Returns the status of this node; called for each heartbeat
    ///        and gossip datagram.
    auto set_status(std::function<std::string()> status) -> void;

    /// Sets a hook that is called when a node becomes alive or stops being
    /// alive.
    auto on_change(std::function<void()> hook) -> void;
    /// Sets a hook that is called when the connection over which another node
    /// calls this one has ended.
    auto on_caller_lost(std::function<void(const core::node_id&)> hook) -> void;
    /// Keeps connections to these nodes open even without calls.
    auto set_pinned(const std::vector<core::node_id>& nodes) -> void;

    /// Sets a hook that is called with the status of another node, received by
    /// heartbeat or gossip.
    auto on_status(
        std::function<void(const core::node_id&, const std::string&)> hook)
        -> void;

    /// Sends a message.
    /// \param timeout After this time the call fails with
    ///        fleet_errc::peer_timeout.
    /// \return An id for cancel(), 0 if the node is not registered.
    auto call(const core::node_id& node, const std::string& topic,
              std::string body, core::milliseconds timeout, reply answer)
        -> std::uint64_t;
    auto cancel(std::uint64_t call) -> void;

    /// Sends the status of this node to all connected nodes at once.
    auto send_heartbeat_now() -> void;

    /// Declares that this node takes requests, so that other nodes may find it
    /// alive.
    auto join() -> void;

    /// Announces to all nodes that this one leaves.
    auto leave() -> void;

    /// Calls \a hook for each other node, in the order of their ids.
    auto visit(const std::function<void(const peer_view&)>& hook) const -> void;

    /// \return The state of the node, not alive if it is not registered.
    [[nodiscard]] auto find(const core::node_id& node) const -> peer_view;

    /// \return Whether there is a connection to the node.
    [[nodiscard]] auto is_connected(const core::node_id& node) const -> bool;
    [[nodiscard]] auto is_alive(const core::node_id& node) const -> bool;

private:
    struct state;
    std::shared_ptr<state> data;
};

} // namespace almondtiller::gateway
