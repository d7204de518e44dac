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
    /// What it said of itself with the last heartbeat.
    std::string status;

    auto operator==(const peer_view&) const -> bool = default;
};

/// Connections to all other nodes: HTTP/2 calls and heartbeats over them. A
/// node that misses heartbeats, or whose connection breaks, is not alive and
/// its calls fail at once.
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

    /// \param members All nodes that are registered; the own one is skipped.
    auto set_members(const std::vector<adapter::node_entry>& members) -> void;

    /// \param status Asked at each heartbeat.
    auto set_status(std::function<std::string()> status) -> void;

    /// Called when a node becomes alive or stops being so.
    auto on_change(std::function<void()> hook) -> void;
    /// Called when a node's connection to this one has ended.
    auto on_sender_lost(std::function<void(const core::node_id&)> hook) -> void;
    /// Called with what a node says of itself, at each heartbeat.
    auto on_status(
        std::function<void(const core::node_id&, const std::string&)> hook)
        -> void;

    /// Sends a message.
    /// \return A number for cancel().
    auto call(const core::node_id& node, const std::string& topic,
              std::string body, core::milliseconds limit, reply answer)
        -> std::uint64_t;
    auto cancel(std::uint64_t call) -> void;

    /// Tells all nodes the status now.
    auto beat_now() -> void;

    [[nodiscard]] auto peers() const -> std::vector<peer_view>;
    [[nodiscard]] auto is_alive(const core::node_id& node) const -> bool;

private:
    struct state;
    std::shared_ptr<state> data;
};

} // namespace almondtiller::gateway
