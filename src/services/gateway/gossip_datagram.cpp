#include "services/gateway/gossip_datagram.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace almondtiller::gateway {

namespace {

using json = nlohmann::json;

constexpr auto last_kind = std::uint8_t(gossip_kind::update);

auto to_bytes(const std::string& text) -> json
{
    return json::binary({text.begin(), text.end()});
}

auto to_text(const json& value) -> std::string
{
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace

auto encode(const gossip_datagram& datagram) -> std::string
{
    const auto is_relay = datagram.kind == gossip_kind::relay;
    const auto body = is_relay ? fleet::encode_ping_request(datagram.target)
                               : fleet::encode_gossip(datagram.message);
    auto bytes = std::string();
    json::to_cbor(json::array({std::uint8_t(datagram.kind), datagram.number,
                               datagram.sender.str(), to_bytes(datagram.status),
                               to_bytes(body)}),
                  bytes);
    return bytes;
}

auto decode_datagram(std::string_view bytes) -> core::result<gossip_datagram>
{
    const auto malformed =
        make_error_code(fleet::fleet_errc::malformed_message);
    try {
        const auto value = json::from_cbor(bytes.begin(), bytes.end());
        auto datagram = gossip_datagram();
        const auto kind = value.at(0).get<std::uint8_t>();
        if (kind > last_kind) {
            return malformed;
        }
        datagram.kind = gossip_kind(kind);
        datagram.number = value.at(1).get<std::uint64_t>();
        datagram.sender = core::node_id(value.at(2).get<std::string>());
        datagram.status = to_text(value.at(3));
        const auto body = to_text(value.at(4));
        if (datagram.kind == gossip_kind::relay) {
            BOOST_OUTCOME_TRY(target, fleet::decode_ping_request(body));
            datagram.target = std::move(target);
        } else {
            BOOST_OUTCOME_TRY(message, fleet::decode_gossip(body));
            datagram.message = std::move(message);
        }
        return datagram;
    } catch (const json::exception&) {
        return malformed;
    }
}

} // namespace almondtiller::gateway
