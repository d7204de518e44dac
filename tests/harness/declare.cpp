#include "harness/declare.h"

#include "platform/http_object_store.h"
#include "settings/declaration_files.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <map>

namespace almondtiller::harness {

namespace {

using nlohmann::json;

constexpr auto workspace_shards = 64U;
constexpr auto timeout = core::milliseconds(3000);

auto shard_of(const std::string& workspace) -> std::string
{
    auto name = std::array<char, 16>();
    std::snprintf(name.data(), name.size(), "workspaces-%02x",
                  unsigned(XXH3_64bits(workspace.data(), workspace.size()) %
                           workspace_shards));
    return {name.data()};
}

auto digest_of(const std::string& text) -> std::string
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    auto digits = std::array<char, 33>();
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return {digits.data()};
}

auto split(const json& document) -> std::map<std::string, json>
{
    auto shards = std::map<std::string, json>();
    for (const auto* member : {"root", "pipelines", "pools", "zones"}) {
        shards["base"][member] = document.value(member, json::object());
    }
    const auto workspaces = document.value("workspaces", json::object());
    for (const auto& [name, workspace] : workspaces.items()) {
        shards[shard_of(name)]["workspaces"][name] = workspace;
    }
    return shards;
}

} // namespace

auto declare_settings(const std::string& platform_address,
                      const std::string& folder) -> bool
{
    const auto loaded = settings::load_tree(folder);
    if (!loaded.findings.empty()) {
        return false;
    }
    const auto& document = loaded.tree.document();
    auto store = platform::http_object_store(platform_address);
    auto head = json{{"revision", 1},
                     {"shards", json::array()},
                     {"zones", json::object()},
                     {"changes", {"declare"}}};
    for (const auto& [name, value] : split(document)) {
        const auto text = value.dump();
        const auto digest = digest_of(text);
        head["shards"].push_back({{"name", name}, {"digest", digest}});
        if (!store.create({"config-shard", digest}, text, timeout)) {
            return false;
        }
    }
    const auto zones = document.value("zones", json::object());
    for (const auto& [name, zone] : zones.items()) {
        head["zones"][name] = zone.value("state", "in");
    }
    return bool(store.create({"config", "head"}, head.dump(), timeout));
}

} // namespace almondtiller::harness
