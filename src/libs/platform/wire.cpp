#include "platform/wire.h"

#include "platform/platform_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::platform {

namespace {

using nlohmann::json;

/// Parses \a text and runs \a decoder on it; maps nlohmann's exceptions to
/// platform_errc::malformed_answer.
template <typename Value, typename Decoder>
auto decode(const std::string& text, Decoder decoder) -> core::result<Value>
{
    try {
        return decoder(json::parse(text));
    } catch (const json::exception&) {
        return make_error_code(platform_errc::malformed_answer);
    }
}

auto to_object(const json& item) -> object
{
    auto built = object();
    built.key.kind = item.at("kind").get<std::string>();
    built.key.name = item.at("name").get<std::string>();
    built.version = item.at("version").get<std::uint64_t>();
    if (item.contains("value")) {
        built.value = item.at("value").dump();
    }
    return built;
}

auto to_event(const json& item) -> watch_event
{
    const auto is_put = item.at("type").get<std::string>() == "put";
    return {is_put ? watch_event_kind::put : watch_event_kind::removed,
            to_object(item)};
}

auto to_instance(const json& item) -> instance
{
    auto built = instance();
    built.id = item.at("id").get<std::string>();
    built.role = item.at("role").get<std::string>() == "node"
                     ? instance_role::node
                     : instance_role::upstream;
    built.pool = core::pool_name(item.value("pool", ""));
    built.zone = core::zone_name(item.at("zone").get<std::string>());
    built.region = core::region_name(item.value("region", ""));
    built.address = item.at("address").get<std::string>();
    built.peer_address = item.value("peer_address", "");
    built.state = item.value("state", "live") == "leaving"
                      ? instance_state::leaving
                      : instance_state::live;
    return built;
}

} // namespace

auto decode_version(const std::string& text) -> core::result<std::uint64_t>
{
    return decode<std::uint64_t>(text, [](const json& answer) {
        return answer.at("version").get<std::uint64_t>();
    });
}

auto decode_object(const std::string& text) -> core::result<object>
{
    return decode<object>(text, to_object);
}

auto decode_list(const std::string& text) -> core::result<object_list>
{
    return decode<object_list>(text, [](const json& answer) {
        auto list = object_list();
        list.revision = answer.at("revision").get<std::uint64_t>();
        for (const auto& item : answer.at("items")) {
            list.objects.push_back(to_object(item));
        }
        return list;
    });
}

auto decode_watch(const std::string& text) -> core::result<watch_batch>
{
    return decode<watch_batch>(text, [](const json& answer) {
        auto batch = watch_batch();
        batch.revision = answer.at("revision").get<std::uint64_t>();
        for (const auto& item : answer.at("events")) {
            batch.events.push_back(to_event(item));
        }
        return batch;
    });
}

auto decode_instances(const std::string& text)
    -> core::result<std::vector<instance>>
{
    return decode<std::vector<instance>>(text, [](const json& answer) {
        auto instances = std::vector<instance>();
        for (const auto& item : answer.at("instances")) {
            instances.push_back(to_instance(item));
        }
        return instances;
    });
}

} // namespace almondtiller::platform
