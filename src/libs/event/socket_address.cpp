#include "event/socket_address.h"

#include "event/stream_state.h"

#include <uv.h>

namespace almondtiller::event {

auto to_socket_address(const core::endpoint& address)
    -> core::result<sockaddr_in>
{
    auto socket_address = sockaddr_in();
    const auto status =
        uv_ip4_addr(address.ip.c_str(), address.port, &socket_address);
    if (status != 0) {
        return to_error_code(status);
    }
    return socket_address;
}

} // namespace almondtiller::event
