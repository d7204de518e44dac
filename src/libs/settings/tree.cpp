#include "settings/tree.h"

#include "settings/quantity.h"
#include "settings/settings_errc.h"

#include <nlohmann/json.hpp>

#include <array>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

auto duration_or(const json& value, milliseconds fallback) -> milliseconds
{
    if (!value.is_string()) {
        return fallback;
    }
    const auto parsed =
        settings::parse_duration(value.get_ref<const std::string&>());
    return parsed ? parsed.value() : fallback;
}

/// \return The member of that name, or an empty object.
auto section(const json& document, const char* name) -> const json&
{
    static const auto empty = json::object();
    const auto found = document.find(name);
    return found == document.end() ? empty : *found;
}

/// Looks a key up in the nearest level that sets it.
class level_chain
{
public:
    explicit level_chain(std::vector<const json*> levels)
        : levels(std::move(levels))
    {}

    [[nodiscard]] auto find(const char* key) const -> const json*
    {
        for (const auto* level : this->levels) {
            if (level->contains(key)) {
                return &level->at(key);
            }
        }
        return nullptr;
    }

    template <typename Value>
    auto read(const char* key, Value& target) const -> void
    {
        if (const auto* found = this->find(key)) {
            target = found->get<Value>();
        }
    }

    auto read(const char* key, milliseconds& target) const -> void
    {
        if (const auto* found = this->find(key)) {
            target = duration_or(*found, target);
        }
    }

private:
    std::vector<const json*> levels;
};

auto parse_kind(const std::string& text) -> stage_kind
{
    for (const auto kind :
         {stage_kind::encode, stage_kind::retrieve, stage_kind::rerank,
          stage_kind::generate, stage_kind::call}) {
        if (to_string(kind) == text) {
            return kind;
        }
    }
    return stage_kind::call;
}

auto resolve_stage(const json& stage, const json& pipeline, const json& root)
    -> stage_settings
{
    const auto chain = level_chain({&stage, &pipeline, &root});
    auto resolved = stage_settings();
    resolved.name = core::stage_name(stage.value("name", ""));
    resolved.kind = parse_kind(stage.value("kind", "call"));
    resolved.pool = core::pool_name(stage.value("pool", ""));
    chain.read("idempotent", resolved.idempotent);
    chain.read("model", resolved.model);
    chain.read("max_tokens", resolved.max_tokens);
    chain.read("min_budget", resolved.min_budget);
    chain.read("max_attempts", resolved.max_attempts);
    chain.read("hedge", resolved.hedge);
    return resolved;
}

auto resolve_pipeline(const std::string& name, const json& pipeline,
                      const json& root) -> pipeline_settings
{
    const auto chain = level_chain({&pipeline, &root});
    auto resolved = pipeline_settings();
    resolved.name = core::pipeline_name(name);
    chain.read("default_deadline", resolved.default_deadline);
    chain.read("max_deadline", resolved.max_deadline);
    for (const auto& stage : pipeline.value("stages", json::array())) {
        resolved.stages.push_back(resolve_stage(stage, pipeline, root));
    }
    return resolved;
}

auto resolve_pool(const std::string& name, const json& pool, const json& root)
    -> pool_settings
{
    const auto chain = level_chain({&pool, &root});
    auto resolved = pool_settings();
    resolved.name = core::pool_name(name);
    chain.read("min_concurrency", resolved.min_concurrency);
    chain.read("max_concurrency", resolved.max_concurrency);
    chain.read("cold_capacity", resolved.cold_capacity);
    chain.read("warm_completions", resolved.warm_completions);
    chain.read("silence_until_cold", resolved.silence_until_cold);
    chain.read("queue_limit", resolved.queue_limit);
    chain.read("retry_ratio", resolved.retry_ratio);
    chain.read("hedge_ratio", resolved.hedge_ratio);
    chain.read("spill_cost", resolved.spill_cost);
    chain.read("max_ejected_share", resolved.max_ejected_share);
    chain.read("models", resolved.models);
    return resolved;
}

auto resolve_workspace(const std::string& name, const json& workspace,
                       const json& root) -> workspace_settings
{
    const auto chain = level_chain({&workspace, &root});
    auto resolved = workspace_settings();
    resolved.name = core::workspace_name(name);
    chain.read("weight", resolved.weight);
    chain.read("max_in_flight", resolved.max_in_flight);
    return resolved;
}

auto resolve_zone(const std::string& name, const json& zone, const json& root)
    -> zone_settings
{
    const auto chain = level_chain({&zone, &root});
    auto resolved = zone_settings();
    auto region = std::string();
    auto state = std::string("in");
    chain.read("region", region);
    chain.read("state", state);
    resolved.name = core::zone_name(name);
    resolved.region = core::region_name(region);
    resolved.state = state == "out" ? zone_state::out : zone_state::in;
    return resolved;
}

auto resolve_fleet(const json& root) -> fleet_settings
{
    const auto chain = level_chain({&root});
    auto resolved = fleet_settings();
    chain.read("endpoint_lifetime", resolved.endpoint_lifetime);
    chain.read("leave_delay", resolved.leave_delay);
    chain.read("gossip_interval", resolved.gossip_interval);
    chain.read("lease_duration", resolved.lease_duration);
    chain.read("grant_duration", resolved.grant_duration);
    return resolved;
}

} // namespace

declaration_tree::declaration_tree() : declaration_tree(json::object())
{}

declaration_tree::declaration_tree(const nlohmann::json& document)
    : json(std::make_shared<const nlohmann::json>(document))
{}

auto declaration_tree::parse(std::string_view text)
    -> core::result<declaration_tree>
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return make_error_code(settings_errc::malformed_json);
    }
    return declaration_tree(document);
}

auto declaration_tree::document() const -> const nlohmann::json&
{
    return *this->json;
}

auto declaration_tree::text() const -> std::string
{
    return this->json->dump();
}

auto declaration_tree::operator==(const declaration_tree& other) const -> bool
{
    return *this->json == *other.json;
}

auto to_string(const finding& finding) -> std::string
{
    auto line = finding.file.empty() ? "" : finding.file + ": ";
    if (!finding.path.empty()) {
        line += finding.path + ": ";
    }
    return line + "found " + finding.found + ", allowed is " + finding.allowed +
           " [" + core::error_name(finding.code) + "]";
}

auto validate(const declaration_tree& tree) -> std::vector<finding>
{
    static_cast<void>(tree);
    return {};
}

auto resolve(const declaration_tree& tree, std::uint64_t revision)
    -> snapshot_ptr
{
    const auto& document = tree.document();
    const auto& root = section(document, "root");
    auto built = std::make_shared<snapshot>();
    built->revision = revision;
    built->fleet = resolve_fleet(root);
    for (const auto& [name, value] : section(document, "pipelines").items()) {
        built->pipelines.emplace(name, resolve_pipeline(name, value, root));
    }
    for (const auto& [name, value] : section(document, "pools").items()) {
        built->pools.emplace(name, resolve_pool(name, value, root));
    }
    for (const auto& [name, value] : section(document, "zones").items()) {
        built->zones.emplace(name, resolve_zone(name, value, root));
    }
    for (const auto& [name, value] : section(document, "workspaces").items()) {
        built->workspaces.emplace(name, resolve_workspace(name, value, root));
    }
    return built;
}

} // namespace almondtiller::settings
