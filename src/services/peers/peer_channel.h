#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "fleet/backoff.h"
#include "services/peers/peer_connection.h"

#include <map>
#include <vector>

namespace almondtiller::services {

/// A request that waits for its answer.
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

    /// Sends the call now, or when the connection is made. While the peer is
    /// avoided after failures, the call fails at once.
    auto add(peer_call call) -> void;

    /// Ends calls whose deadline has passed; closes an idle connection.
    auto sweep(core::time_point now) -> void;

    /// \return Whether nothing is kept, not even a pause after a failure.
    [[nodiscard]] auto is_idle() const -> bool;

    /// Ends every call with \a error.
    auto stop(std::error_code error) -> void;

private:
    auto take_late_calls(core::time_point now) -> std::vector<peer_call>;
    auto connect() -> void;
    auto connected() -> void;
    auto connect_failed() -> void;
    auto send(peer_call call) -> void;
    auto answered(std::int32_t stream, core::result<std::string> answer)
        -> void;

    boost::asio::io_context& context;
    boost::asio::ip::tcp::endpoint target;
    const core::runtime_clock& clock;
    traffic_counters& counters;
    core::random_source random;
    fleet::backoff retry;
    core::time_point avoid_until;
    core::time_point last_use;
    core::time_point last_answer;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
    std::shared_ptr<peer_connection> connection;
    std::vector<peer_call> waiting;
    std::map<std::int32_t, peer_call> sent;
};

} // namespace almondtiller::services
