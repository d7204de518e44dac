#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::core {

/// An IPv4 address with a port.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator==(const endpoint&) const -> bool = default;
    auto operator<=>(const endpoint&) const = default;
};

/// \return "IP:PORT".
[[nodiscard]] auto to_text(const endpoint& address) -> std::string;

/// Parses "IP:PORT"; the address must be dotted IPv4 and the port not 0.
[[nodiscard]] auto parse_endpoint(std::string_view text)
    -> std::optional<endpoint>;

} // namespace almondtiller::core
