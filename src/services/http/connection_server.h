#pragma once

#include "services/http/connection_stream.h"
#include "services/http/elastic_pool.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>

namespace almondtiller::services {

/// How the connections of a server are treated.
struct connection_limits
{
    std::size_t max_connections = 1024;
    /// The largest body that the server keeps.
    std::size_t max_body_bytes = std::size_t(8) << 20U;
    /// For the bytes of all requests that are read or run, beyond the first
    /// 64 KiB of each.
    std::size_t max_request_bytes = std::size_t(64) << 20U;
    std::chrono::milliseconds keep_alive{15000};
    /// For one whole request, from its first byte to its last.
    std::chrono::milliseconds request_read{10000};
    /// For one write.
    std::chrono::milliseconds write{10000};

    auto operator==(const connection_limits&) const -> bool = default;
};

/// What happened to connections.
enum class connection_event
{
    accepted,
    evicted_idle, ///< Closed while idle, to make room for another.
    rejected,     ///< Refused because all others were busy.
    refused_body, ///< Closed because the requests of all hold too much.
    too_slow,     ///< Closed because a request took too long to arrive.
    broken,       ///< Closed in the middle of a request.
};

/// An HTTP server with bounded connections: idle ones make room for new ones,
/// slow senders are cut off, and a drain lets running requests finish.
class connection_server : public httplib::Server
{
public:
    using event_handler = std::function<void(connection_event)>;

    connection_server(const core::runtime_clock& clock,
                      connection_limits limits, event_handler on_event);
    ~connection_server() override;

    /// \param port 0 takes any free port.
    /// \return The port, or 0 when it cannot be bound.
    auto bind(const std::string& address, int port) -> int;

    /// Accepts no connection any more and closes the idle ones; running
    /// requests finish. listen_after_bind() returns when they have.
    auto drain() -> void;

    /// \return The connection that the calling thread serves, or -1.
    static auto current_connection() -> socket_t;

private:
    class task_queue;

    auto process_and_close_socket(socket_t socket) -> bool override;
    auto serve(socket_t socket) -> void;
    auto await_request(connection_stream& stream) -> bool;
    auto evict_idle() -> bool;
    auto accept_job(std::function<void()> job) -> void;

    const core::runtime_clock& clock;
    connection_limits limits;
    event_handler on_event;
    request_bytes held_bytes;
    elastic_pool pool;
    std::atomic<bool> draining = false;
    int wake_descriptor = -1;
    socket_t listener = INVALID_SOCKET;
    std::mutex idle_mutex;
    std::list<socket_t> idle; ///< Those idle for longest first.
};

} // namespace almondtiller::services
