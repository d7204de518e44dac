#include "core/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace almondtiller::core {

auto to_text(const endpoint& address) -> std::string
{
    return address.ip + ":" + std::to_string(address.port);
}

auto parse_endpoint(std::string_view text) -> std::optional<endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto parsed = endpoint();
    parsed.ip = std::string(text.substr(0, colon));
    auto binary = in_addr();
    if (inet_pton(AF_INET, parsed.ip.c_str(), &binary) != 1) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    const auto* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, parsed.port);
    if (read.ec != std::errc() || read.ptr != end || parsed.port == 0) {
        return std::nullopt;
    }
    return parsed;
}

} // namespace almondtiller::core
