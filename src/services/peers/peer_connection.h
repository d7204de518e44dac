#pragma once

#include "h2/h2_session.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <memory>

namespace almondtiller::services {

using h2::h2_hooks;
using h2::h2_request;
using h2::h2_role;
using h2::h2_session;

/// Bytes sent and received on all connections of this node to peers.
struct traffic_counters
{
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> received = 0;
};

/// A socket with its HTTP/2 session. Used on the I/O thread only.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// \param on_closed Called once, when the connection has failed or the peer
    ///        has closed it; not called after close().
    peer_connection(boost::asio::ip::tcp::socket socket, h2_role role,
                    h2_hooks hooks, traffic_counters& counters,
                    std::function<void()> on_closed);

    /// Starts reading and writing.
    auto start() -> void;

    /// Writes the pending output of the session.
    auto flush() -> void;

    /// Closes the socket without calling on_closed.
    auto close() -> void;

    [[nodiscard]] auto session() -> h2_session&;

private:
    auto read() -> void;
    auto fail() -> void;

    boost::asio::ip::tcp::socket socket;
    traffic_counters& counters;
    std::function<void()> on_closed;
    std::array<char, 16384> read_buffer{};
    std::string write_buffer;
    bool is_writing = false;
    bool is_closed = false;
    h2_session h2;
};

} // namespace almondtiller::services
