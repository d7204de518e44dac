#include "fleet/gossip_message.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::fleet {

namespace {

using nlohmann::json;

constexpr auto last_state = std::uint32_t(member_state::dead);

auto to_bytes(const json& document) -> std::string
{
    auto bytes = std::string();
    json::to_cbor(document, bytes);
    return bytes;
}

template <typename Value, typename Decoder>
auto decode(const std::string& bytes, Decoder decoder) -> core::result<Value>
{
    try {
        return decoder(json::from_cbor(bytes));
    } catch (const json::exception&) {
        return make_error_code(fleet_errc::malformed_message);
    }
}

/// Members are encoded as arrays, because field names would double their size.
auto to_json(const member& record) -> json
{
    return json::array({record.id.str(), record.incarnation, record.zone.str(),
                        record.region.str(), record.address,
                        record.peer_address, std::uint32_t(record.state)});
}

auto to_member(const json& item) -> member
{
    auto field = std::size_t(0);
    const auto text = [&] {
        return item.at(field++).get<std::string>();
    };
    auto record = member();
    record.id = core::node_id(text());
    record.incarnation = item.at(field++).get<std::uint64_t>();
    record.zone = core::zone_name(text());
    record.region = core::region_name(text());
    record.address = text();
    record.peer_address = text();
    const auto state = item.at(field).get<std::uint32_t>();
    record.state = member_state(std::min(state, last_state));
    return record;
}

} // namespace

auto encode_gossip(const gossip_message& message) -> std::string
{
    auto updates = json::array();
    for (const auto& record : message.updates) {
        updates.push_back(to_json(record));
    }
    return to_bytes(
        json::array({message.table_hash, message.wants_full_table,
                     message.sender_config_status.config_revision,
                     message.sender_config_status.config_age_ms, updates}));
}

auto decode_gossip(const std::string& bytes) -> core::result<gossip_message>
{
    return decode<gossip_message>(bytes, [](const json& document) {
        auto field = std::size_t(0);
        auto message = gossip_message();
        message.table_hash = document.at(field++).get<std::uint64_t>();
        message.wants_full_table = document.at(field++).get<bool>();
        message.sender_config_status.config_revision =
            document.at(field++).get<std::uint64_t>();
        message.sender_config_status.config_age_ms =
            document.at(field++).get<std::int64_t>();
        for (const auto& item : document.at(field)) {
            message.updates.push_back(to_member(item));
        }
        return message;
    });
}

auto encode_ping_request(const ping_request& request) -> std::string
{
    return to_bytes(json::array({request.target.str(), request.peer_address}));
}

auto decode_ping_request(const std::string& bytes) -> core::result<ping_request>
{
    return decode<ping_request>(bytes, [](const json& document) {
        return ping_request{core::node_id(document.at(0).get<std::string>()),
                            document.at(1).get<std::string>()};
    });
}

} // namespace almondtiller::fleet
