#pragma once

#include "event/timer.h"
#include "event/udp_socket.h"
#include "fleet/membership.h"
#include "platform/entries.h"
#include "services/gateway/event_log.h"
#include "services/gateway/gossip_datagram.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::gateway {

/// Failure detector of large fleets. It sends datagrams to a few nodes at a
/// time, which also carry the status of the sender. Load pattern: heartbeats
/// from each node to each other grow with the square of the fleet's size and
/// overload its small machines.
class peer_gossip
{
public:
    using status_hook =
        std::function<void(const core::node_id&, const std::string&)>;

    peer_gossip(event::loop& event_loop, const adapter::node_entry& self,
                event_log& log);

    auto listen(const core::endpoint& address) -> std::error_code;

    /// Starts to ping other nodes and to answer their pings.
    auto start() -> void;

    /// \param members All registered nodes, including this one.
    auto set_members(const std::vector<adapter::node_entry>& members) -> void;

    /// \param status Returns the status of this node; called for each datagram.
    auto set_status(std::function<std::string()> status) -> void;
    auto on_status(status_hook hook) -> void;

    /// Sets a hook that is called when a node may have become alive or may have
    /// stopped being alive.
    auto on_change(std::function<void()> hook) -> void;

    /// Pings a node at once because there is a reason to suspect it.
    auto check(const core::node_id& node) -> void;

    /// Stops the failure detector; no hook is called after that.
    auto close() -> void;

    /// Announces to the fleet that this node leaves.
    auto leave() -> void;

    /// \return Whether the node is a member that accepts new work: alive or
    ///         suspect, neither leaving nor dead.
    [[nodiscard]] auto is_alive(const core::node_id& node) const -> bool;

private:
    struct pending_ping
    {
        fleet::probe_request probe_request;
        core::time_point deadline;
        /// Address of the node on whose behalf the ping is sent and the number
        /// of its request; 0 if the ping is this node's own.
        core::endpoint requester;
        std::uint64_t request_number = 0;
    };

    auto tick() -> void;
    auto send_updates() -> void;
    auto send(const fleet::probe_request& request) -> void;
    auto send_ping(const fleet::probe_request& request) -> std::uint64_t;
    auto send_datagram(const core::endpoint& target,
                       const gossip_datagram& datagram) -> void;
    auto add_pending(std::uint64_t number, pending_ping ping,
                     core::milliseconds timeout) -> void;
    auto on_bytes(std::string_view bytes, const core::endpoint& sender) -> void;
    auto on_ping(const gossip_datagram& ping, const core::endpoint& sender)
        -> void;
    auto on_relay(const gossip_datagram& relay, const core::endpoint& sender)
        -> void;
    auto on_answer(const gossip_datagram& answer) -> void;
    auto expire() -> void;
    auto finish(const pending_ping& ping, bool is_answered) -> void;
    auto report_change() -> void;
    [[nodiscard]] auto own_status() const -> std::string;

    event::loop& event_loop;
    core::node_id self;
    event_log& log;
    fleet::membership detector;
    event::udp_socket socket;
    std::map<std::uint64_t, pending_ping> pending;
    std::uint64_t last_number = 0;
    std::uint64_t reported_view = 0;
    std::function<std::string()> status;
    status_hook status_received;
    std::function<void()> changed;
    event::timer ticker;
    event::timer expiry_timer;
    event::timer update_timer;
    bool is_update_scheduled = false;
    bool is_expiry_scheduled = false;
    bool is_started = false;
};

} // namespace almondtiller::gateway
