#include "settings/tree.h"

#include "settings/resolution.h"
#include "settings/settings_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

auto resolve_pipeline(const std::string& name, const json& pipeline,
                      const json& root) -> pipeline_settings
{
    auto resolved = pipeline_settings();
    resolved.name = core::pipeline_name(name);
    resolve_into(resolved, {&pipeline, &root});
    for (const auto& stage : declared_stages(pipeline)) {
        resolve_into(resolved.stages.emplace_back(),
                     {&stage, &pipeline, &root});
    }
    return resolved;
}

/// Resolves an object that inherits from the root only.
template <typename Owner, typename Name>
auto resolve_child(const Name& name, const json& declared, const json& root)
    -> Owner
{
    auto resolved = Owner();
    resolved.name = name;
    resolve_into(resolved, {&declared, &root});
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

auto resolve(const declaration_tree& tree, std::uint64_t revision)
    -> snapshot_ptr
{
    const auto& document = tree.document();
    const auto& root = object_member(document, "root");
    auto built = std::make_shared<snapshot>();
    built->revision = revision;
    resolve_into(built->fleet, {&root});
    for (const auto& [name, value] :
         object_member(document, "pipelines").items()) {
        built->pipelines.emplace(name, resolve_pipeline(name, value, root));
    }
    for (const auto& [name, value] : object_member(document, "pools").items()) {
        const auto id = core::pool_name(name);
        built->pools.emplace(id, resolve_child<pool_settings>(id, value, root));
    }
    for (const auto& [name, value] : object_member(document, "zones").items()) {
        const auto id = core::zone_name(name);
        built->zones.emplace(id, resolve_child<zone_settings>(id, value, root));
    }
    const auto& workspaces = object_member(document, "workspaces");
    built->workspaces.reserve(workspaces.size());
    for (const auto& [name, value] : workspaces.items()) {
        const auto id = core::workspace_name(name);
        built->workspaces.emplace(
            id, resolve_child<workspace_settings>(id, value, root));
    }
    return built;
}

} // namespace almondtiller::settings
