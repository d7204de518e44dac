#include "fleet/config_exchange.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::fleet {

namespace {

using nlohmann::json;

auto to_bytes(const json& document) -> std::string
{
    auto bytes = std::string();
    json::to_cbor(document, bytes);
    return bytes;
}

} // namespace

auto encode_revision(std::uint64_t revision) -> std::string
{
    return to_bytes(revision);
}

auto decode_revision(const std::string& bytes) -> core::result<std::uint64_t>
{
    try {
        return json::from_cbor(bytes).get<std::uint64_t>();
    } catch (const json::exception&) {
        return make_error_code(fleet_errc::malformed_message);
    }
}

auto encode_head_answer(const head_answer& answer) -> std::string
{
    return to_bytes(json::array({answer.revision, answer.age_ms, answer.head}));
}

auto decode_head_answer(const std::string& bytes) -> core::result<head_answer>
{
    try {
        const auto document = json::from_cbor(bytes);
        return head_answer{document.at(0).get<std::uint64_t>(),
                           document.at(1).get<std::int64_t>(),
                           document.at(2).get<std::string>()};
    } catch (const json::exception&) {
        return make_error_code(fleet_errc::malformed_message);
    }
}

} // namespace almondtiller::fleet
