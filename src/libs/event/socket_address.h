#pragma once

#include "core/endpoint.h"
#include "core/result.h"

#include <netinet/in.h>

namespace almondtiller::event {

/// \return The address as a libuv argument, or the error of parsing it.
[[nodiscard]] auto to_socket_address(const core::endpoint& address)
    -> core::result<sockaddr_in>;

/// \return The same address as the generic type that libuv's functions take.
[[nodiscard]] inline auto as_sockaddr(const sockaddr_in& address)
    -> const sockaddr*
{
    return reinterpret_cast<const sockaddr*>(&address);
}

} // namespace almondtiller::event
