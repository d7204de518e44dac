#include "settings/cross_checks.h"
#include "settings/level_check.h"
#include "settings/nearest_name.h"
#include "settings/resolution.h"
#include "settings/settings_errc.h"
#include "settings/tree.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace almondtiller::settings {

namespace {

using nlohmann::json;
using findings_list = std::vector<finding>;
using member_check =
    std::function<void(const std::string& path, const std::string& name,
                       const json& value, findings_list& findings)>;

constexpr auto max_stages = std::size_t(12);

const auto section_names = std::vector<std::string>{
    "root", "pipelines", "pools", "zones", "workspaces"};

auto add(findings_list& findings, settings_errc code, std::string path,
         std::string found, std::string allowed) -> void
{
    findings.push_back({make_error_code(code), "", std::move(path),
                        std::move(found), std::move(allowed)});
}

auto append(findings_list left, const findings_list& right) -> findings_list
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

auto check_members(const json& section, const std::string& name,
                   const member_check& check, findings_list& findings) -> void
{
    for (const auto& [key, value] : section.items()) {
        auto path = name;
        path.append("/").append(key);
        check(path, key, value, findings);
    }
}

auto check_name(const std::string& path, const std::string& name,
                findings_list& findings) -> void
{
    if (!is_name(name)) {
        add(findings, settings_errc::out_of_range, path, "the name " + name,
            "a name of letters, digits, '.', '_' and '-'");
    }
}

auto check_stages(const std::string& path, const json& pipeline,
                  findings_list& findings) -> void
{
    const auto& stages = declared_stages(pipeline);
    if (stages.empty() || stages.size() > max_stages) {
        add(findings, settings_errc::out_of_range, path,
            std::to_string(stages.size()) + " stages",
            "a list of 1 to " + std::to_string(max_stages) + " stages");
    }
    for (auto i = std::size_t(0); i < stages.size(); ++i) {
        check_level(setting_level::stage, stage_path(path, stages, i),
                    stages[i], "", findings);
    }
}

auto check_pipeline(const std::string& path, const std::string& name,
                    const json& value, findings_list& findings) -> void
{
    check_name(path, name, findings);
    check_level(setting_level::pipeline, path, value, "stages", findings);
    if (value.is_object()) {
        check_stages(path + "/stages", value, findings);
    }
}

auto make_level_check(setting_level level) -> member_check
{
    return [level](const auto& path, const auto& name, const auto& value,
                   auto& findings) {
        check_name(path, name, findings);
        check_level(level, path, value, "", findings);
    };
}

auto check_sections(const json& document) -> findings_list
{
    auto findings = findings_list();
    for (const auto& [name, value] : document.items()) {
        const auto known =
            std::find(section_names.begin(), section_names.end(), name);
        if (known == section_names.end()) {
            add(findings, settings_errc::unknown_key, name, "the key " + name,
                suggest(name, section_names));
        } else if (!value.is_object()) {
            add(findings, settings_errc::wrong_type, name, value.dump(),
                "an object");
        }
    }
    return findings;
}

/// Removes findings whose path already has a finding in \a known, so that one
/// value is not reported twice.
auto remove_reported(findings_list cross, const findings_list& known)
    -> findings_list
{
    std::erase_if(cross, [&known](const auto& candidate) {
        return std::any_of(known.begin(), known.end(),
                           [&candidate](const auto& earlier) {
                               return earlier.path == candidate.path;
                           });
    });
    return cross;
}

} // namespace

auto stage_path(const std::string& path, const json& stages, std::size_t index)
    -> std::string
{
    const auto& stage = stages.at(index);
    const auto name = stage.is_object() ? stage.find("name") : stage.end();
    if (stage.is_object() && name != stage.end() && name->is_string()) {
        return path + "/" + name->get<std::string>();
    }
    return path + "/" + std::to_string(index);
}

auto validate(const declaration_tree& tree) -> std::vector<finding>
{
    using enum setting_level;
    const auto& document = tree.document();
    auto findings = check_sections(document);
    check_level(root, "root", object_member(document, "root"), "", findings);
    const auto check_section = [&](const std::string& name,
                                   const member_check& check) {
        check_members(object_member(document, name), name, check, findings);
    };
    check_section("pipelines", check_pipeline);
    check_section("pools", make_level_check(pool));
    check_section("zones", make_level_check(zone));
    check_section("workspaces", make_level_check(workspace));
    const auto cross = cross_check(document, *resolve(tree, 0));
    return append(findings, remove_reported(cross, findings));
}

} // namespace almondtiller::settings
