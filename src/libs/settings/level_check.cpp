#include "settings/level_check.h"

#include "settings/nearest_name.h"
#include "settings/quantity.h"
#include "settings/settings_errc.h"
#include "settings/value_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

constexpr auto max_text_length = std::size_t(80);

auto truncated_text(const json& value) -> std::string
{
    auto text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_text_length) {
        text.resize(max_text_length);
        text += "...";
    }
    return text;
}

auto check_range(const setting_row& row, double value) -> settings_errc
{
    return value < row.info.min || value > row.info.max
               ? settings_errc::out_of_range
               : settings_errc();
}

auto check_count(const setting_row& row, const json& value) -> settings_errc
{
    return value.is_number_integer() ? check_range(row, value.get<double>())
                                     : settings_errc::wrong_type;
}

auto check_share(const setting_row& row, const json& value) -> settings_errc
{
    return value.is_number() ? check_range(row, value.get<double>())
                             : settings_errc::wrong_type;
}

auto check_duration(const setting_row& row, const json& value) -> settings_errc
{
    auto parsed = milliseconds();
    return read_value(value, parsed) ? check_range(row, double(parsed.count()))
                                     : settings_errc::wrong_type;
}

auto check_name(const json& value) -> settings_errc
{
    if (!value.is_string()) {
        return settings_errc::wrong_type;
    }
    return is_name(value.get_ref<const std::string&>())
               ? settings_errc()
               : settings_errc::out_of_range;
}

auto check_names(const json& value) -> settings_errc
{
    if (!value.is_array()) {
        return settings_errc::wrong_type;
    }
    for (const auto& item : value) {
        if (const auto code = check_name(item); code != settings_errc()) {
            return code;
        }
    }
    return {};
}

auto check_choice(const setting_row& row, const json& value) -> settings_errc
{
    if (!value.is_string()) {
        return settings_errc::wrong_type;
    }
    const auto& text = value.get_ref<const std::string&>();
    const auto found = std::find(row.choices.begin(), row.choices.end(), text);
    return found == row.choices.end() ? settings_errc::out_of_range
                                      : settings_errc();
}

auto check_value(const setting_row& row, const json& value) -> settings_errc
{
    switch (row.type) {
    case setting_type::count:
        return check_count(row, value);
    case setting_type::share:
        return check_share(row, value);
    case setting_type::flag:
        return value.is_boolean() ? settings_errc() : settings_errc::wrong_type;
    case setting_type::duration:
        return check_duration(row, value);
    case setting_type::name:
        return check_name(value);
    case setting_type::names:
        return check_names(value);
    case setting_type::choice:
        return check_choice(row, value);
    }
    return {};
}

/// \return The levels at which the key is allowed, separated by commas; empty
///         for unknown keys.
auto levels_allowing(std::string_view key) -> std::string
{
    using enum setting_level;
    auto text = std::string();
    for (const auto level : {root, pipeline, stage, pool, workspace, zone}) {
        for (const auto* row : settings_at(level)) {
            if (row->info.key == key) {
                text += (text.empty() ? "" : ", ") + to_string(level);
            }
        }
    }
    return text;
}

auto check_unknown_key(setting_level level, const std::string& path,
                       const std::string& key, std::string_view non_setting_key)
    -> finding
{
    const auto code = make_error_code(settings_errc::unknown_key);
    const auto found = "the key " + key;
    if (const auto levels = levels_allowing(key); !levels.empty()) {
        return {code, "", path, found, "at these levels: " + levels};
    }
    auto known = std::vector<std::string>();
    for (const auto* row : settings_at(level)) {
        known.emplace_back(row->info.key);
    }
    if (!non_setting_key.empty()) {
        known.emplace_back(non_setting_key);
    }
    return {code, "", path, found, suggest(key, known)};
}

auto find_row(setting_level level, const std::string& key) -> const setting_row*
{
    for (const auto* row : settings_at(level)) {
        if (row->info.key == key) {
            return row;
        }
    }
    return nullptr;
}

auto check_required(setting_level level, const std::string& path,
                    const json& declared, std::vector<finding>& findings)
    -> void
{
    for (const auto* row : settings_at(level)) {
        if (row->info.required && row->info.owner == level &&
            !declared.contains(row->info.key)) {
            findings.push_back({make_error_code(settings_errc::missing_setting),
                                "", path + "/" + std::string(row->info.key),
                                "nothing", describe_allowed(*row)});
        }
    }
}

} // namespace

auto suggest(std::string_view wanted, const std::vector<std::string>& known)
    -> std::string
{
    const auto nearest = nearest_name(wanted, known);
    return nearest.empty() ? "nothing, as none is declared"
                           : "a known name, the nearest is " + nearest;
}

auto check_level(setting_level level, const std::string& path,
                 const json& declared, std::string_view non_setting_key,
                 std::vector<finding>& findings) -> void
{
    if (!declared.is_object()) {
        findings.push_back({make_error_code(settings_errc::wrong_type), "",
                            path, truncated_text(declared), "an object"});
        return;
    }
    for (const auto& [key, value] : declared.items()) {
        if (key == non_setting_key) {
            continue;
        }
        auto at = path;
        at.append("/").append(key);
        const auto* row = find_row(level, key);
        if (row == nullptr) {
            findings.push_back(
                check_unknown_key(level, at, key, non_setting_key));
            continue;
        }
        const auto code = check_value(*row, value);
        if (code != settings_errc()) {
            findings.push_back({make_error_code(code), "", at,
                                truncated_text(value), describe_allowed(*row)});
        }
    }
    check_required(level, path, declared, findings);
}

} // namespace almondtiller::settings
