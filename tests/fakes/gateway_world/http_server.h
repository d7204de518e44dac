#pragma once

#include "event/event.h"
#include "http1/server_connection.h"

#include <functional>
#include <memory>
#include <set>

namespace almondtiller::gateway_world {

/// An HTTP server on a free port of the loopback address with default parser
/// limits and without timeouts.
class http_server
{
public:
    using handler = std::function<void(http1::request_message,
                                       std::shared_ptr<http1::exchange>)>;

    http_server(event::loop& event_loop, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    [[nodiscard]] auto address() const -> core::endpoint;

    /// Closes every connection and the listener.
    auto close() -> void;

    /// Listens again, at the same address.
    auto reopen() -> void;

private:
    auto listen() -> void;

    event::loop& event_loop;
    std::shared_ptr<http1::server_options> options;
    std::unique_ptr<event::tcp_listener> listener;
    std::uint16_t port = 0;
    std::set<std::shared_ptr<http1::server_connection>> connections;
};

} // namespace almondtiller::gateway_world
