#include "services/cold_starts/cold_messages.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::services {

namespace {

using nlohmann::json;

auto to_cbor(const json& value) -> std::string
{
    const auto bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

auto from_cbor(const std::string& body) -> json
{
    return json::from_cbor(body, true, false);
}

auto milliseconds_of(core::duration length) -> std::int64_t
{
    return std::chrono::duration_cast<core::milliseconds>(length).count();
}

} // namespace

auto encode(const cold_notification_message& message) -> std::string
{
    return to_cbor({{"pool", message.pool.str()},
                    {"id", message.notification.id.str()},
                    {"incarnation", message.notification.incarnation},
                    {"why", int(message.notification.reason)}});
}

auto decode_cold_notification(const std::string& body)
    -> core::result<cold_notification_message>
{
    try {
        const auto value = from_cbor(body);
        return cold_notification_message{
            core::pool_name(value.at("pool").get<std::string>()),
            {core::upstream_id(value.at("id").get<std::string>()),
             value.at("incarnation").get<std::string>(),
             routing::cold_reason(value.at("why").get<int>())}};
    } catch (const json::exception&) {
        return make_error_code(fleet::fleet_errc::malformed_message);
    }
}

auto encode(const routing::cold_slot_request& slot_request) -> std::string
{
    return to_cbor({{"id", slot_request.id.str()},
                    {"pool", slot_request.pool.str()},
                    {"start", slot_request.holder_start},
                    {"sequence", slot_request.sequence},
                    {"floor", slot_request.min_valid_sequence},
                    {"wanted", slot_request.wanted},
                    {"in_flight", slot_request.in_flight}});
}

auto decode_cold_slot_request(const std::string& body)
    -> core::result<routing::cold_slot_request>
{
    try {
        const auto value = from_cbor(body);
        return routing::cold_slot_request{
            core::upstream_id(value.at("id").get<std::string>()),
            core::pool_name(value.at("pool").get<std::string>()),
            value.at("start").get<std::uint64_t>(),
            value.at("sequence").get<std::uint64_t>(),
            value.at("floor").get<std::uint64_t>(),
            value.at("wanted").get<std::uint32_t>(),
            value.at("in_flight").get<std::uint32_t>()};
    } catch (const json::exception&) {
        return make_error_code(fleet::fleet_errc::malformed_message);
    }
}

auto encode(const routing::cold_slot_response& response) -> std::string
{
    return to_cbor({{"id", response.id.str()},
                    {"sequence", response.sequence},
                    {"verdict", int(response.verdict)},
                    {"slots", response.slots},
                    {"valid_ms", milliseconds_of(response.valid_for)},
                    {"retry_after_ms", milliseconds_of(response.retry_after)}});
}

auto decode_cold_slot_response(const std::string& body)
    -> core::result<routing::cold_slot_response>
{
    try {
        const auto value = from_cbor(body);
        const auto verdict = value.at("verdict").get<int>();
        if (verdict < int(routing::cold_verdict::decided) ||
            verdict > int(routing::cold_verdict::no_quorum)) {
            return make_error_code(fleet::fleet_errc::malformed_message);
        }
        return routing::cold_slot_response{
            core::upstream_id(value.at("id").get<std::string>()),
            value.at("sequence").get<std::uint64_t>(),
            routing::cold_verdict(verdict),
            value.at("slots").get<std::uint32_t>(),
            core::milliseconds(value.at("valid_ms").get<std::int64_t>()),
            core::milliseconds(value.at("retry_after_ms").get<std::int64_t>())};
    } catch (const json::exception&) {
        return make_error_code(fleet::fleet_errc::malformed_message);
    }
}

} // namespace almondtiller::services
