#pragma once

#include "core/endpoint.h"
#include "core/result.h"

#include <netinet/in.h>

namespace almondtiller::event {

/// \return The address as the library's calls take it, or why it is none.
[[nodiscard]] auto to_socket_address(const core::endpoint& address)
    -> core::result<sockaddr_in>;

/// \return The same as the library's calls want it typed.
[[nodiscard]] inline auto as_generic(const sockaddr_in& address)
    -> const sockaddr*
{
    return reinterpret_cast<const sockaddr*>(&address);
}

} // namespace almondtiller::event
