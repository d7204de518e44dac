#include "settings/explanation.h"

#include "settings/resolution.h"
#include "settings/schema.h"
#include "settings/settings_errc.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <sstream>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

/// A declaration that may set the key, and its path.
struct declaration_at_path
{
    std::string path;
    const json* declared;
};

/// The owner of a key and the declarations that may set it, nearest first.
struct key_target
{
    setting_level owner = setting_level::root;
    std::vector<declaration_at_path> levels;
};

auto split(const std::string& path) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto stream = std::istringstream(path);
    for (auto part = std::string(); std::getline(stream, part, '/');) {
        parts.push_back(part);
    }
    return parts;
}

auto find_stage(const json& pipeline, const std::string& name) -> const json*
{
    for (const auto& stage : declared_stages(pipeline)) {
        if (stage.is_object() && stage.value("name", "") == name) {
            return &stage;
        }
    }
    return nullptr;
}

auto level_of_section(const std::string& section)
    -> std::optional<setting_level>
{
    using enum setting_level;
    if (section == "pipelines") {
        return pipeline;
    }
    if (section == "pools") {
        return pool;
    }
    if (section == "zones") {
        return zone;
    }
    if (section == "workspaces") {
        return workspace;
    }
    return std::nullopt;
}

auto find_child(const json& document, const std::vector<std::string>& parts)
    -> core::result<key_target>
{
    const auto level = level_of_section(parts.front());
    if (!level || parts.size() < 2) {
        return make_error_code(settings_errc::missing_reference);
    }
    const auto& section = object_member(document, parts[0]);
    const auto child = section.find(parts[1]);
    if (child == section.end()) {
        return make_error_code(settings_errc::missing_reference);
    }
    return key_target{*level, {{parts[0] + "/" + parts[1], &*child}}};
}

/// \param parts The components of a key path without the key itself.
auto find_target(const json& document, const std::vector<std::string>& parts)
    -> core::result<key_target>
{
    constexpr auto stage_parts = std::size_t(4);
    const auto& root = object_member(document, "root");
    if (parts.size() == 1 && parts[0] == "root") {
        return key_target{setting_level::root, {{"root", &root}}};
    }
    if (parts.empty()) {
        return make_error_code(settings_errc::missing_reference);
    }
    BOOST_OUTCOME_TRY(target, find_child(document, parts));
    if (parts.size() == stage_parts && parts[2] == "stages") {
        const auto* stage = find_stage(*target.levels[0].declared, parts[3]);
        if (stage == nullptr) {
            return make_error_code(settings_errc::missing_reference);
        }
        auto path = target.levels[0].path;
        path.append("/stages/").append(parts[3]);
        target.owner = setting_level::stage;
        target.levels.insert(target.levels.begin(), {path, stage});
    } else if (parts.size() != 2) {
        return make_error_code(settings_errc::missing_reference);
    }
    target.levels.push_back({"root", &root});
    return target;
}

auto explain_row(const setting_row& row, const key_target& target,
                 const std::string& path) -> explanation
{
    const auto key = std::string(row.info.key);
    for (const auto& level : target.levels) {
        const auto* value = find_value(row.info, {level.declared});
        if (value != nullptr) {
            return {path, value->dump(), level.path + "/" + key,
                    std::string(row.info.help)};
        }
        if (!row.info.inherited) {
            break;
        }
    }
    return {path, row.default_text, "", std::string(row.info.help)};
}

} // namespace

auto explain(const declaration_tree& tree, const std::string& path)
    -> core::result<explanation>
{
    auto parts = split(path);
    if (parts.size() < 2) {
        return make_error_code(settings_errc::missing_reference);
    }
    const auto key = parts.back();
    parts.pop_back();
    BOOST_OUTCOME_TRY(target, find_target(tree.document(), parts));
    for (const auto* row : settings_at(target.owner)) {
        if (row->info.key == key) {
            return explain_row(*row, target, path);
        }
    }
    return make_error_code(settings_errc::unknown_key);
}

} // namespace almondtiller::settings
