#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "fleet/backoff.h"
#include "services/peers/peer_connection.h"

#include <map>
#include <vector>

namespace almondtiller::services {

/// A request that has not been answered yet.
struct peer_call
{
    h2_request request;
    core::time_point deadline;
    std::function<void(core::result<std::string>)> reply;
};

/// The calls to one peer, and the connection that carries them. Used on the
/// I/O thread only.
class peer_channel : public std::enable_shared_from_this<peer_channel>
{
public:
    peer_channel(boost::asio::io_context& context,
                 boost::asio::ip::tcp::endpoint target,
                 const core::runtime_clock& clock, traffic_counters& counters,
                 std::uint64_t seed);

    /// Sends the call immediately, or once the connection is established.
    /// During the backoff after a failed connection attempt, the call fails
    /// immediately with fleet_errc::peer_unreachable.
    auto add(peer_call call) -> void;

    /// Fails calls whose deadline has passed with fleet_errc::peer_timeout.
    /// Closes the connection when it is idle or no longer answers.
    auto sweep(core::time_point now) -> void;

    /// \return Whether the channel may be deleted: it has no connection and no
    ///         call, and its last use and backoff ended at least
    ///         idle_timeout ago.
    [[nodiscard]] auto is_idle() const -> bool;

    /// Closes the connection and fails every call with \a error.
    auto stop(std::error_code error) -> void;

private:
    auto take_expired_calls(core::time_point now) -> std::vector<peer_call>;
    auto connect() -> void;
    auto on_connected() -> void;
    auto on_connect_failed() -> void;
    auto send(peer_call call) -> void;
    auto on_call_answered(std::int32_t stream, core::result<std::string> answer)
        -> void;

    boost::asio::io_context& context;
    boost::asio::ip::tcp::endpoint target;
    const core::runtime_clock& clock;
    traffic_counters& counters;
    core::random_source random;
    fleet::backoff reconnect_backoff;
    core::time_point backoff_until;
    core::time_point last_use;
    core::time_point last_answer;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
    std::shared_ptr<peer_connection> connection;
    std::vector<peer_call> waiting;
    std::map<std::int32_t, peer_call> sent;
};

} // namespace almondtiller::services
