#include "settings/schema.h"

#include "settings/quantity.h"
#include "settings/value_codec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <type_traits>

namespace almondtiller::settings {

namespace {

constexpr auto max_name_length = std::size_t(128);

template <typename Value>
constexpr auto type_of() -> setting_type
{
    if constexpr (std::is_same_v<Value, std::uint32_t>) {
        return setting_type::count;
    } else if constexpr (std::is_same_v<Value, double>) {
        return setting_type::share;
    } else if constexpr (std::is_same_v<Value, bool>) {
        return setting_type::flag;
    } else if constexpr (std::is_same_v<Value, milliseconds>) {
        return setting_type::duration;
    } else if constexpr (std::is_same_v<Value, std::vector<std::string>>) {
        return setting_type::names;
    } else if constexpr (std::is_enum_v<Value>) {
        return setting_type::choice;
    } else {
        return setting_type::name;
    }
}

template <typename Value>
auto choices_of() -> std::vector<std::string>
{
    if constexpr (std::is_same_v<Value, stage_kind>) {
        return stage_kind_names();
    } else if constexpr (std::is_same_v<Value, zone_state>) {
        return zone_state_names();
    } else {
        return {};
    }
}

template <typename Owner>
auto make_row(const setting<Owner>& row) -> setting_row
{
    const auto defaults = Owner();
    return std::visit(
        [&row, &defaults](auto member) {
            using value = std::decay_t<decltype(defaults.*member)>;
            return setting_row{
                row.info, type_of<value>(), choices_of<value>(),
                row.info.required ? "" : format_value(defaults.*member)};
        },
        row.member);
}

template <typename Owner>
auto append_rows(std::vector<setting_row>& rows) -> void
{
    for (const auto& row : settings_of<Owner>()) {
        rows.push_back(make_row(row));
    }
}

auto build_rows() -> std::vector<setting_row>
{
    auto rows = std::vector<setting_row>();
    append_rows<fleet_settings>(rows);
    append_rows<pipeline_settings>(rows);
    append_rows<stage_settings>(rows);
    append_rows<pool_settings>(rows);
    append_rows<workspace_settings>(rows);
    append_rows<zone_settings>(rows);
    return rows;
}

auto build_index() -> std::map<setting_level, std::vector<const setting_row*>>
{
    using enum setting_level;
    auto index = std::map<setting_level, std::vector<const setting_row*>>();
    for (const auto level : {root, pipeline, stage, pool, workspace, zone}) {
        auto& rows = index[level];
        for (const auto& row : all_settings()) {
            if (is_allowed_at(row.info, level)) {
                rows.push_back(&row);
            }
        }
    }
    return index;
}

auto bound_text(const setting_row& row, double bound) -> std::string
{
    if (row.type == setting_type::duration) {
        return format_duration(milliseconds(std::int64_t(bound)));
    }
    if (row.type == setting_type::count) {
        return std::to_string(std::int64_t(bound));
    }
    return nlohmann::json(bound).dump();
}

auto range_text(const setting_row& row) -> std::string
{
    return " from " + bound_text(row, row.info.min) + " to " +
           bound_text(row, row.info.max);
}

} // namespace

auto all_settings() -> const std::vector<setting_row>&
{
    static const auto rows = build_rows();
    return rows;
}

auto settings_at(setting_level level) -> const std::vector<const setting_row*>&
{
    static const auto index = build_index();
    return index.at(level);
}

auto parent_of(setting_level level) -> setting_level
{
    return level == setting_level::stage ? setting_level::pipeline
                                         : setting_level::root;
}

auto is_allowed_at(const setting_info& info, setting_level level) -> bool
{
    auto candidate = info.owner;
    while (candidate != level) {
        const auto parent = parent_of(candidate);
        if (!info.inherited || parent == candidate) {
            return false;
        }
        candidate = parent;
    }
    return true;
}

auto describe_allowed(const setting_row& row) -> std::string
{
    switch (row.type) {
    case setting_type::count:
        return "an integer" + range_text(row);
    case setting_type::share:
        return "a number" + range_text(row);
    case setting_type::flag:
        return "true or false";
    case setting_type::duration:
        return "a duration" + range_text(row) + ", like \"250ms\"";
    case setting_type::name:
        return "a name of letters, digits, '.', '_' and '-'";
    case setting_type::names:
        return "a list of names";
    case setting_type::choice:
        break;
    }
    auto text = std::string("one of");
    for (const auto& choice : row.choices) {
        text += (&choice == &row.choices.front() ? " " : ", ") + choice;
    }
    return text;
}

auto is_name(std::string_view text) -> bool
{
    constexpr auto allowed = std::string_view(
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-");
    return !text.empty() && text.size() <= max_name_length &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

auto to_string(setting_level level) -> std::string
{
    constexpr auto names =
        std::array{"root", "pipeline", "stage", "pool", "workspace", "zone"};
    return names.at(std::size_t(level));
}

auto to_string(setting_type type) -> std::string
{
    constexpr auto names = std::array{"count", "share", "flag",  "duration",
                                      "name",  "names", "choice"};
    return names.at(std::size_t(type));
}

} // namespace almondtiller::settings
