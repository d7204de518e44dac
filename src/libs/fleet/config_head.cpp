#include "fleet/config_head.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::fleet {

namespace {

using nlohmann::json;
using settings::zone_state;

auto to_json(const change_record& change) -> json
{
    return {{"id", change.id},
            {"who", change.who},
            {"what", change.what},
            {"when_ms", change.when_ms},
            {"revision", change.revision}};
}

auto to_change(const json& item) -> change_record
{
    return {item.at("id").get<std::string>(), item.value("who", ""),
            item.value("what", ""), item.value("when_ms", std::int64_t(0)),
            item.at("revision").get<std::uint64_t>()};
}

auto to_head(const json& document) -> config_head
{
    auto head = config_head();
    head.revision = document.at("revision").get<std::uint64_t>();
    for (const auto& item : document.at("shards")) {
        head.shards.push_back({item.at("name").get<std::string>(),
                               item.at("digest").get<std::string>()});
    }
    for (const auto& [name, state] : document.at("zones").items()) {
        head.zones.emplace(name, state.get<std::string>() == "out"
                                     ? zone_state::out
                                     : zone_state::in);
    }
    for (const auto& item : document.at("changes")) {
        head.changes.push_back(to_change(item));
    }
    return head;
}

} // namespace

auto encode_head(const config_head& head) -> std::string
{
    auto document = json{{"revision", head.revision},
                         {"shards", json::array()},
                         {"zones", json::object()},
                         {"changes", json::array()}};
    for (const auto& shard : head.shards) {
        document["shards"].push_back(
            {{"name", shard.name}, {"digest", shard.digest}});
    }
    for (const auto& [zone, state] : head.zones) {
        document["zones"][zone.str()] = settings::to_string(state);
    }
    for (const auto& change : head.changes) {
        document["changes"].push_back(to_json(change));
    }
    return document.dump();
}

auto decode_head(const std::string& text) -> core::result<config_head>
{
    try {
        return to_head(json::parse(text));
    } catch (const json::exception&) {
        return make_error_code(fleet_errc::malformed_message);
    }
}

} // namespace almondtiller::fleet
