#include "fleet/config_shards.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace almondtiller::fleet {

namespace {

using nlohmann::json;

constexpr auto workspace_shards = std::uint64_t(64);
constexpr auto digest_digits = std::size_t(32);

auto workspace_shard_name(const std::string& workspace) -> std::string
{
    const auto hash = XXH3_64bits(workspace.data(), workspace.size());
    auto name = std::array<char, sizeof("workspaces-00")>();
    static_cast<void>(std::snprintf(name.data(), name.size(), "workspaces-%02x",
                                    unsigned(hash % workspace_shards)));
    return name.data();
}

auto make_shard(const std::string& name, const json& document) -> config_shard
{
    const auto text = document.dump();
    return {{name, shard_digest(text)}, text};
}

} // namespace

auto shard_digest(const std::string& text) -> std::string
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    auto digits = std::array<char, digest_digits + 1>();
    static_cast<void>(
        std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                      static_cast<unsigned long long>(hash.high64),
                      static_cast<unsigned long long>(hash.low64)));
    return digits.data();
}

auto split_tree(const settings::declaration_tree& tree)
    -> std::vector<config_shard>
{
    auto base = tree.document();
    auto workspaces = std::map<std::string, json>();
    if (const auto found = base.find("workspaces"); found != base.end()) {
        for (const auto& [name, value] : found->items()) {
            workspaces[workspace_shard_name(name)]["workspaces"][name] = value;
        }
        base["workspaces"] = json::object();
    }
    auto shards = std::vector<config_shard>{make_shard("base", base)};
    for (const auto& [name, document] : workspaces) {
        shards.push_back(make_shard(name, document));
    }
    return shards;
}

auto merge_shards(const std::vector<shard_ref>& shards,
                  const shard_texts& texts)
    -> core::result<settings::declaration_tree>
{
    auto merged = json::object();
    for (const auto& shard : shards) {
        const auto text = texts.find(shard.digest);
        if (text == texts.end()) {
            return make_error_code(fleet_errc::shard_missing);
        }
        const auto part = json::parse(text->second, nullptr, false);
        if (!part.is_object()) {
            return make_error_code(fleet_errc::malformed_message);
        }
        for (const auto& [name, value] : part.items()) {
            if (name == "workspaces") {
                merged[name].update(value);
            } else {
                merged[name] = value;
            }
        }
    }
    return settings::declaration_tree(merged);
}

} // namespace almondtiller::fleet
