#pragma once

#include "core/endpoint.h"

#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace almondtiller::event {

class loop;

/// A bound UDP socket. Datagrams may be lost, duplicated or reordered; a
/// datagram that cannot be sent at once is dropped.
class udp_socket
{
public:
    using datagram_hook = std::function<void(std::string_view bytes,
                                             const core::endpoint& sender)>;

    /// \param on_datagram Its view is valid only during the call.
    udp_socket(loop& event_loop, datagram_hook on_datagram);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    auto operator=(const udp_socket&) -> udp_socket& = delete;

    /// \param address Port 0 selects any free port.
    auto bind(const core::endpoint& address) -> std::error_code;

    /// \return The port that the socket is bound to; 0 before bind().
    [[nodiscard]] auto port() const -> int;

    auto send(const core::endpoint& target, std::string_view bytes)
        -> std::error_code;

    auto close() -> void;

private:
    struct state;
    state* data;
};

} // namespace almondtiller::event
