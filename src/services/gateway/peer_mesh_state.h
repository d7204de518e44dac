#pragma once

#include "event/loop.h"
#include "event/tcp_listener.h"
#include "event/timer.h"
#include "fleet/fleet_errc.h"
#include "h2/h2_session.h"
#include "services/gateway/peer_gossip.h"
#include "services/gateway/peer_mesh.h"
#include "services/overload/overload_guard.h"

#include <set>

namespace almondtiller::gateway {

using fleet::fleet_errc;

/// Time between heartbeats to a peer. A peer from which nothing was received
/// for max_missed_heartbeats intervals is considered failed.
inline constexpr auto heartbeat_interval = core::milliseconds(250);
inline constexpr auto max_missed_heartbeats = 4;
/// Time between heartbeats in a large fleet, where the owner of a service has a
/// connection from each node: the shorter one for peers that are pinned or have
/// calls in progress, the longer one for all others.
inline constexpr auto busy_heartbeat_interval = core::milliseconds(500);
inline constexpr auto idle_heartbeat_interval = core::milliseconds(2000);
/// A connection without calls is closed after this time. It is far longer than
/// any request runs, because the peer discards the work of a node when the
/// connection from that node ends.
inline constexpr auto idle_link_timeout = std::chrono::seconds(60);
/// Delay before the first attempt to reconnect to a peer whose connection has
/// failed. It doubles with each failure in a row, at most max_delay_doublings
/// times.
inline constexpr auto reconnect_base_delay = core::milliseconds(1000);
inline constexpr auto max_delay_doublings = 3;
/// If data was received over a connection within this time, the connection is
/// to the process that is registered now: a machine takes longer to restart,
/// and the connection to a process that has ended is closed.
inline constexpr auto min_restart_time = core::milliseconds(1000);
inline constexpr auto peer_connect_timeout = core::milliseconds(400);
inline constexpr auto heartbeat_topic = "beat";

/// A call that is sent as soon as the connection is established.
struct waiting_call
{
    std::uint64_t id = 0;
    h2::h2_request request;
};

/// An outgoing connection to one peer.
struct peer_link
{
    peer_view view;
    std::shared_ptr<event::tcp_stream> stream;
    std::unique_ptr<h2::h2_session> session;
    bool is_connecting = false;
    bool is_flushing = false;
    bool is_heartbeat_pending = false;
    bool is_pinned = false;
    core::time_point last_received_at;
    core::time_point heartbeat_sent_at;
    /// When the first heartbeat since the last data from the peer was sent.
    core::time_point unanswered_since;
    core::time_point last_called_at;
    core::time_point connect_not_before;
    /// The peer is not considered alive until connect_not_before, even if
    /// gossip reports it as alive.
    bool is_in_backoff = false;
    /// Failures since the last answered heartbeat, at most max_delay_doublings.
    int failures = 0;
    /// Ids of calls in progress, by stream.
    std::map<std::int32_t, std::uint64_t> calls;
    /// Calls that wait until the connection is established.
    std::vector<waiting_call> waiting;
};

/// A call in progress or waiting, over any link.
struct peer_call
{
    core::node_id node;
    std::int32_t stream = 0;
    peer_mesh::reply answer;
    std::unique_ptr<event::timer> timeout_timer;
};

/// An incoming connection.
struct peer_inbound
{
    std::shared_ptr<event::tcp_stream> stream;
    /// Null before the first bytes and after the end.
    std::unique_ptr<h2::h2_session> session;
    core::node_id sender;
    std::map<std::int32_t, std::function<void()>> cancel_actions;
    bool is_flushing = false;
    bool is_open = true;
    /// Whether the session is processing received bytes.
    bool is_receiving = false;
    memory_budget::holder_id holder = 0;
};

struct peer_mesh::state : std::enable_shared_from_this<state>
{
    event::loop& event_loop;
    adapter::node_entry self;
    event_log& log;
    std::unique_ptr<event::tcp_listener> listener;
    std::map<std::string, handler> handlers;
    std::map<core::node_id, peer_link> links;
    std::map<std::uint64_t, peer_call> calls;
    std::set<std::shared_ptr<peer_inbound>> inbound;
    /// Null if incoming connections are not bounded.
    overload::overload_guard* guard = nullptr;
    std::function<std::string()> status;
    std::function<void()> changed;
    std::function<void(const core::node_id&)> caller_lost;
    std::function<void(const core::node_id&, const std::string&)>
        status_received;
    std::uint64_t last_call = 0;
    std::unique_ptr<event::timer> ticker;
    peer_gossip gossip;
    /// This node takes requests, so other nodes may find it alive.
    bool is_joined = false;
    bool is_gossiping = false;
    bool is_change_posted = false;
    bool is_closed = false;

    state(event::loop& loop, adapter::node_entry entry, event_log& logger)
        : event_loop(loop),
          self(std::move(entry)),
          log(logger),
          gossip(loop, this->self, logger)
    {}

    [[nodiscard]] auto is_large_fleet() const -> bool;
    /// \return Time between heartbeats over a connection.
    [[nodiscard]] auto interval(const peer_link& link) const
        -> core::milliseconds;
    [[nodiscard]] auto reconnect_delay(const peer_link& link) const
        -> core::milliseconds;
    [[nodiscard]] auto has_missed_heartbeats(const peer_link& link) const
        -> bool;
    /// Load pattern: all nodes are restarted at once. Hundreds of nodes
    /// register again while calls to them are in progress. If these calls
    /// failed, each node would make itself the owner of all services.
    /// \return Whether the connection, or the one that is being established, is
    ///         to the process that the entry names.
    [[nodiscard]] auto is_same_process(const peer_link& link,
                                       const adapter::node_entry& entry) const
        -> bool;
    auto start_gossip() -> void;
    /// Updates from the gossip which nodes are alive; does nothing in a small
    /// fleet.
    auto apply_gossip() -> void;
    auto update_gossip(const std::vector<adapter::node_entry>& members) -> void;
    auto set_alive(peer_link& link, bool alive, std::string_view reason)
        -> void;
    /// Closes a connection that has failed, and fails the calls over it.
    auto drop_link(peer_link& link, std::string_view reason) -> void;
    /// Closes a connection that is not needed.
    auto close_link(peer_link& link) -> void;
    /// Opens, checks and closes the connection as the fleet's size requires,
    /// sends heartbeats over it and ends the backoff.
    auto maintain_link(const core::node_id& node, peer_link& link) -> void;
    auto finish(std::uint64_t id, core::result<std::string> answer) -> void;
    auto post_answer(reply done, core::result<std::string> value) -> void;

    /// Closes all connections; no hook or answer is called after that.
    auto close() -> void;
    auto flush(const core::node_id& node) -> void;
    auto connect(peer_link& link) -> void;
    auto on_connected(const core::node_id& node, const core::endpoint& address,
                      std::shared_ptr<event::tcp_stream> stream,
                      std::error_code error) -> void;
    auto on_link_bytes(const core::node_id& node, std::string_view bytes)
        -> void;
    auto send_heartbeat(peer_link& link) -> void;
    auto send(peer_link& link, const std::string& topic, std::string body,
              core::milliseconds timeout, reply answer) -> std::uint64_t;
    auto submit(peer_link& link, std::uint64_t id,
                const h2::h2_request& request) -> void;
    auto cancel_call(std::uint64_t id, fleet_errc code) -> void;
    auto tick() -> void;
    auto accept(std::shared_ptr<event::tcp_stream> stream) -> void;
    auto open_session(const std::shared_ptr<peer_inbound>& connection) -> void;
    auto on_inbound_bytes(const std::shared_ptr<peer_inbound>& connection,
                          std::string_view bytes) -> void;
    auto flush(const std::shared_ptr<peer_inbound>& connection) -> void;
    /// Reports what an incoming connection holds, and ends it if the node may
    /// not hold that.
    auto report_load(const std::shared_ptr<peer_inbound>& connection) -> void;
    auto end_inbound(const std::shared_ptr<peer_inbound>& connection) -> void;
    auto on_request(const std::shared_ptr<peer_inbound>& connection,
                    std::int32_t id, h2::h2_request request) -> void;
};

} // namespace almondtiller::gateway
