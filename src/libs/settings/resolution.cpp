#include "settings/resolution.h"

#include "settings/value_codec.h"

#include <nlohmann/json.hpp>

namespace almondtiller::settings {

using nlohmann::json;

auto find_value(const setting_info& info, const level_chain& levels)
    -> const json*
{
    for (const auto* level : levels) {
        if (level->is_object()) {
            const auto found = level->find(info.key);
            if (found != level->end()) {
                return &*found;
            }
        }
        if (!info.inherited) {
            break;
        }
    }
    return nullptr;
}

template <typename Owner>
auto resolve_into(Owner& target, const level_chain& levels) -> void
{
    for (const auto& row : settings_of<Owner>()) {
        const auto* value = find_value(row.info, levels);
        if (value == nullptr) {
            continue;
        }
        std::visit(
            [&target, value](auto member) {
                static_cast<void>(read_value(*value, target.*member));
            },
            row.member);
    }
}

template auto resolve_into(stage_settings&, const level_chain&) -> void;
template auto resolve_into(pipeline_settings&, const level_chain&) -> void;
template auto resolve_into(pool_settings&, const level_chain&) -> void;
template auto resolve_into(workspace_settings&, const level_chain&) -> void;
template auto resolve_into(zone_settings&, const level_chain&) -> void;
template auto resolve_into(fleet_settings&, const level_chain&) -> void;

auto object_member(const json& document, std::string_view name) -> const json&
{
    static const auto empty = json::object();
    const auto found = document.find(name);
    return found == document.end() || !found->is_object() ? empty : *found;
}

auto declared_stages(const json& pipeline) -> const json&
{
    static const auto empty = json::array();
    if (!pipeline.is_object()) {
        return empty;
    }
    const auto found = pipeline.find("stages");
    return found == pipeline.end() || !found->is_array() ? empty : *found;
}

} // namespace almondtiller::settings
