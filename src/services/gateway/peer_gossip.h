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

/// Finds out which nodes of a large fleet are alive, and carries what a node
/// says of itself, by datagrams to a few nodes at a time. Load pattern:
/// heartbeats from each node to each other grow with the square of the fleet
/// and use up its small machines.
class peer_gossip
{
public:
    using status_hook =
        std::function<void(const core::node_id&, const std::string&)>;

    peer_gossip(event::loop& owner, const adapter::node_entry& self,
                event_log& log);

    auto listen(const core::endpoint& address) -> std::error_code;

    /// Begins to ping others and to answer them.
    auto start() -> void;

    /// \param members All nodes that are registered, this one too.
    auto set_members(const std::vector<adapter::node_entry>& members) -> void;

    /// \param status What this node says of itself, asked for each datagram.
    auto set_status(std::function<std::string()> status) -> void;
    auto on_status(status_hook hook) -> void;

    /// Called when a node may have become alive or stopped being so.
    auto on_change(std::function<void()> hook) -> void;

    /// Pings a node now, as there is reason to doubt it.
    auto check(const core::node_id& node) -> void;

    /// Ends it; no hook is called any more.
    auto close() -> void;

    /// Tells all nodes that this one leaves.
    auto leave() -> void;

    /// \return Whether the node is a member that takes new work.
    [[nodiscard]] auto is_alive(const core::node_id& node) const -> bool;

private:
    struct pending_ping
    {
        fleet::probe_order order;
        core::time_point limit;
        /// Of a ping for another node: who asked, and its number.
        core::endpoint asker;
        std::uint64_t asked_as = 0;
    };

    auto tick() -> void;
    auto spread_news() -> void;
    auto send(const fleet::probe_order& order) -> void;
    auto send_ping(const fleet::probe_order& order) -> std::uint64_t;
    auto send_datagram(const core::endpoint& target,
                       const gossip_datagram& datagram) -> void;
    auto expect(std::uint64_t number, pending_ping ping,
                core::milliseconds limit) -> void;
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

    event::loop& owner;
    core::node_id self;
    event_log& log;
    fleet::membership machine;
    event::udp_socket socket;
    std::map<std::uint64_t, pending_ping> pending;
    std::uint64_t last_number = 0;
    std::uint64_t reported_view = 0;
    std::function<std::string()> status;
    status_hook status_heard;
    std::function<void()> changed;
    event::timer ticker;
    event::timer expiry;
    event::timer spreader;
    bool is_spreading = false;
    bool is_expiring = false;
    bool is_started = false;
};

} // namespace almondtiller::gateway
