#include "services/claims/claim_messages.h"

#include "claims/record_json.h"
#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace almondtiller::services {

namespace {

using nlohmann::json;

auto pack(const json& document) -> std::string
{
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

template <typename Value, typename Decoder>
auto unpack(const std::string& body, Decoder decoder) -> core::result<Value>
{
    try {
        return decoder(json::from_cbor(body));
    } catch (const json::exception&) {
        return make_error_code(fleet::fleet_errc::malformed_message);
    }
}

} // namespace

auto encode(const want_message& message) -> std::string
{
    const auto& wanted = message.wanted;
    return pack({{"c", wanted.claim},
                 {"k", wanted.key},
                 {"f", wanted.fingerprint},
                 {"n", wanted.node},
                 {"i", wanted.incarnation},
                 {"l", message.time_left.count()}});
}

auto encode(const decided_message& message) -> std::string
{
    const auto& decided = message.decided;
    return pack({{"k", message.key},
                 {"c", decided.claim},
                 {"e", decided.error.value()},
                 {"v", int(decided.verdict)},
                 {"r", claims::to_json(decided.record)}});
}

auto encode(const end_message& message) -> std::string
{
    return pack({{"k", message.key}, {"r", claims::to_json(message.record)}});
}

auto decode_want(const std::string& body) -> core::result<want_message>
{
    return unpack<want_message>(body, [](const json& item) {
        auto message = want_message();
        message.wanted.claim = item.at("c").get<std::string>();
        message.wanted.key = item.at("k").get<std::string>();
        message.wanted.fingerprint = item.at("f").get<std::string>();
        message.wanted.node = item.at("n").get<std::string>();
        message.wanted.incarnation = item.at("i").get<std::uint64_t>();
        message.time_left =
            core::milliseconds(item.at("l").get<std::int64_t>());
        return message;
    });
}

auto decode_decided(const std::string& body) -> core::result<decided_message>
{
    return unpack<decided_message>(body, [](const json& item) {
        auto message = decided_message();
        message.key = item.at("k").get<std::string>();
        auto& decided = message.decided;
        decided.claim = item.at("c").get<std::string>();
        const auto error = item.at("e").get<int>();
        if (error != 0) {
            decided.error = claims::claims_errc(error);
        }
        decided.verdict = claims::claim_verdict(item.at("v").get<int>());
        decided.record = claims::to_record(item.at("r"));
        return message;
    });
}

auto decode_end(const std::string& body) -> core::result<end_message>
{
    return unpack<end_message>(body, [](const json& item) {
        return end_message{item.at("k").get<std::string>(),
                           claims::to_record(item.at("r"))};
    });
}

} // namespace almondtiller::services
