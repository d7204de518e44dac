#include "settings/tree_diff.h"

#include <nlohmann/json.hpp>

#include <array>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

auto child_path(const std::string& path, const std::string& key) -> std::string
{
    auto child = path;
    return (child.empty() ? child : child.append("/")).append(key);
}

auto compare(const std::string& path, const json& before, const json& after,
             std::vector<difference>& found) -> void
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        found.push_back(
            {difference_kind::changed, path, before.dump(), after.dump()});
        return;
    }
    for (const auto& [key, value] : before.items()) {
        const auto child = child_path(path, key);
        const auto other = after.find(key);
        if (other == after.end()) {
            found.push_back(
                {difference_kind::removed, child, value.dump(), ""});
        } else {
            compare(child, value, *other, found);
        }
    }
    for (const auto& [key, value] : after.items()) {
        if (!before.contains(key)) {
            found.push_back({difference_kind::added, child_path(path, key), "",
                             value.dump()});
        }
    }
}

} // namespace

auto diff(const declaration_tree& before, const declaration_tree& after)
    -> std::vector<difference>
{
    auto found = std::vector<difference>();
    compare("", before.document(), after.document(), found);
    return found;
}

auto overlay(const declaration_tree& stored, const declaration_tree& declared)
    -> declaration_tree
{
    auto merged = stored.document();
    for (const auto& [section, members] : declared.document().items()) {
        auto& target = merged[section];
        if (!target.is_object()) {
            target = json::object();
        }
        target.update(members);
    }
    return declaration_tree(merged);
}

auto to_string(difference_kind kind) -> std::string
{
    constexpr auto names = std::array{"added", "changed", "removed"};
    return names.at(std::size_t(kind));
}

} // namespace almondtiller::settings
