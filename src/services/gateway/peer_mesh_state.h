#pragma once

#include "event/loop.h"
#include "event/tcp_listener.h"
#include "event/timer.h"
#include "fleet/fleet_errc.h"
#include "h2/h2_session.h"
#include "services/gateway/peer_gossip.h"
#include "services/gateway/peer_mesh.h"

#include <set>

namespace almondtiller::gateway {

using fleet::fleet_errc;

/// Time between heartbeats to a peer. A peer from which nothing was received
/// for alive_beats intervals is taken as failed.
inline constexpr auto beat_interval = core::milliseconds(250);
inline constexpr auto alive_beats = 4;
/// Time between heartbeats in a large fleet, where the owner of a service has a
/// connection from each node: the shorter one for peers that are pinned or have
/// calls in progress, the longer one for all others.
inline constexpr auto busy_beat_interval = core::milliseconds(500);
inline constexpr auto idle_beat_interval = core::milliseconds(2000);
/// A connection without calls is closed after this time. It is far longer than
/// any request runs, because the peer discards the work of a node when the
/// connection from that node ends.
inline constexpr auto idle_link_time = std::chrono::seconds(60);
/// Delay before the first attempt to reconnect to a peer whose connection has
/// failed. It doubles with each failure in a row, at most most_doublings times.
inline constexpr auto reconnect_pause = core::milliseconds(1000);
inline constexpr auto most_doublings = 3;
/// If data was received over a connection within this time, the connection is
/// to the process that is registered now: a machine takes longer to restart,
/// and the connection to a process that has ended is closed.
inline constexpr auto restart_time = core::milliseconds(1000);
inline constexpr auto peer_connect_limit = core::milliseconds(400);
inline constexpr auto beat_topic = "beat";

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
    bool is_beating = false;
    bool is_pinned = false;
    core::time_point heard;
    core::time_point beaten;
    /// When the first heartbeat after the last data from the peer was sent.
    core::time_point unanswered;
    core::time_point called;
    core::time_point connect_not_before;
    /// The peer is taken as not alive until connect_not_before, even if gossip
    /// reports it as alive.
    bool is_paused = false;
    /// Failures since the last answered heartbeat, at most most_doublings.
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
    peer_gossip gossip;
    /// This node takes requests, so other nodes may find it alive.
    bool is_joined = false;
    bool is_gossiping = false;
    bool is_change_posted = false;
    bool is_closed = false;

    state(event::loop& loop, adapter::node_entry entry, event_log& lines)
        : owner(loop),
          self(std::move(entry)),
          log(lines),
          gossip(loop, this->self, lines)
    {}

    [[nodiscard]] auto is_large() const -> bool;
    /// \return Time between heartbeats over a connection.
    [[nodiscard]] auto interval(const peer_link& link) const
        -> core::milliseconds;
    [[nodiscard]] auto reconnect_time(const peer_link& link) const
        -> core::milliseconds;
    [[nodiscard]] auto is_silent(const peer_link& link) const -> bool;
    /// Load pattern: all nodes are restarted at once. Hundreds of nodes
    /// register again while calls to them are in progress. If these calls
    /// failed, each node would make itself the owner of all services.
    /// \return Whether the connection, or the one that is being established, is
    ///         to the process that the entry names.
    [[nodiscard]] auto reaches(const peer_link& link,
                               const adapter::node_entry& entry) const -> bool;
    auto start_gossip() -> void;
    /// Updates from the gossip which nodes are alive; does nothing in a small
    /// fleet.
    auto take_gossip() -> void;
    auto update_gossip(const std::vector<adapter::node_entry>& members) -> void;
    auto set_alive(peer_link& link, bool alive, std::string_view reason)
        -> void;
    /// Closes a connection that has failed, and fails the calls over it.
    auto drop_link(peer_link& link, std::string_view reason) -> void;
    /// Closes a connection that is not needed.
    auto close_link(peer_link& link) -> void;
    /// Opens, checks and closes the connection as the fleet's size requires,
    /// sends heartbeats over it and ends the backoff.
    auto tend(const core::node_id& node, peer_link& link) -> void;
    auto finish(std::uint64_t id, core::result<std::string> answer) -> void;
    auto post_answer(reply done, core::result<std::string> value) -> void;

    /// Closes all connections; no hook or answer is called after that.
    auto close() -> void;
    auto flush(const core::node_id& node) -> void;
    auto connect(peer_link& link) -> void;
    auto connected(const core::node_id& node, const core::endpoint& address,
                   std::shared_ptr<event::tcp_stream> stream,
                   std::error_code error) -> void;
    auto on_link_bytes(const core::node_id& node, std::string_view bytes)
        -> void;
    auto beat(peer_link& link) -> void;
    auto send(peer_link& link, const std::string& topic, std::string body,
              core::milliseconds limit, reply answer) -> std::uint64_t;
    auto submit(peer_link& link, std::uint64_t id,
                const h2::h2_request& request) -> void;
    auto give_up(std::uint64_t id, fleet_errc code) -> void;
    auto tick() -> void;
    auto accept(std::shared_ptr<event::tcp_stream> stream) -> void;
    auto flush(const std::shared_ptr<peer_inbound>& connection) -> void;
    auto end_inbound(const std::shared_ptr<peer_inbound>& connection) -> void;
    auto on_request(const std::shared_ptr<peer_inbound>& connection,
                    std::int32_t id, h2::h2_request request) -> void;
};

} // namespace almondtiller::gateway
