#pragma once

#include "event/tcp_stream.h"

#include <functional>
#include <memory>
#include <system_error>

namespace almondtiller::event {

/// Accepts TCP connections on one address.
class tcp_listener
{
public:
    using accept_hook = std::function<void(std::shared_ptr<tcp_stream>)>;

    tcp_listener(loop& event_loop, accept_hook on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    auto operator=(const tcp_listener&) -> tcp_listener& = delete;

    /// \param address Port 0 selects any free port.
    auto listen(const core::endpoint& address) -> std::error_code;

    /// \return The port that the listener is bound to; 0 before listen().
    [[nodiscard]] auto port() const -> int;

    /// Stops accepting connections and closes the listening socket.
    auto close() -> void;

private:
    struct state;
    state* data;
};

} // namespace almondtiller::event
