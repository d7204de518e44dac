#include "services/operator_api/status_document.h"

#include <nlohmann/json.hpp>

namespace almondtiller::services {

namespace {

using nlohmann::json;

auto merge_parts(const std::vector<std::string>& parts) -> json
{
    auto merged = json::object();
    for (const auto& part : parts) {
        const auto parsed = json::parse(part, nullptr, false);
        if (parsed.is_object()) {
            merged.update(parsed);
        }
    }
    return merged;
}

auto node_part(const node_facts& facts) -> json
{
    return {{"node", facts.identity.id.str()},
            {"zone", facts.identity.zone.str()},
            {"region", facts.identity.region.str()},
            {"address", facts.identity.address},
            {"incarnation", facts.identity.incarnation},
            {"state", facts.state},
            {"revision", facts.configuration->revision}};
}

auto zones_part(const settings::snapshot& configuration) -> json
{
    auto zones = json::array();
    for (const auto& [name, zone] : configuration.zones) {
        zones.push_back({{"zone", name.str()},
                         {"region", zone.region.str()},
                         {"state", settings::to_string(zone.state)}});
    }
    return zones;
}

} // namespace

auto status_document(const node_facts& facts,
                     const std::vector<std::string>& parts) -> std::string
{
    auto document = merge_parts(parts);
    document.erase(top_member);
    document.update(node_part(facts));
    document["zones"] = zones_part(*facts.configuration);
    return document.dump();
}

auto top_document(const node_facts& facts,
                  const std::vector<std::string>& parts) -> std::string
{
    auto document = merge_parts(parts).value(top_member, json::object());
    document.update(node_part(facts));
    return document.dump();
}

} // namespace almondtiller::services
