#include "orders/lease_value.h"

#include "platform/platform_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::orders {

using nlohmann::json;

auto encode(const lease_value& value) -> std::string
{
    return json{{"holder", value.holder},
                {"incarnation", value.incarnation},
                {"fencing", value.fencing},
                {"renewal", value.renewal},
                {"duration_ms", value.duration_ms}}
        .dump();
}

auto decode_lease(const std::string& text) -> core::result<lease_value>
{
    try {
        const auto document = json::parse(text);
        auto value = lease_value();
        value.holder = document.at("holder").get<std::string>();
        value.incarnation = document.at("incarnation").get<std::uint64_t>();
        value.fencing = document.at("fencing").get<std::uint64_t>();
        value.renewal = document.at("renewal").get<std::uint64_t>();
        value.duration_ms = document.at("duration_ms").get<std::uint64_t>();
        return value;
    } catch (const json::exception&) {
        return make_error_code(platform::platform_errc::malformed_answer);
    }
}

} // namespace almondtiller::orders
