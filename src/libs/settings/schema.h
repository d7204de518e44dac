#pragma once

#include "settings/effective.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondtiller::settings {

/// Levels of the declaration tree.
enum class setting_level
{
    root,
    pipeline,
    stage,
    pool,
    workspace,
    zone,
};

enum class setting_type
{
    count,    ///< An integer.
    share,    ///< A number.
    flag,     ///< true or false.
    duration, ///< A string with its unit, like "250ms".
    name,     ///< A string of letters, digits, '.', '_' and '-'.
    names,    ///< A list of names.
    choice,   ///< One of a fixed set of words.
};

/// Description of a setting, independent of the member that holds its value.
struct setting_info
{
    std::string_view key;
    setting_level owner;
    /// Whether levels above the owner may set it for their children.
    bool inherited = true;
    bool required = false;
    /// Bounds of counts, shares and durations (in milliseconds).
    double min = 0;
    double max = 0;
    std::string_view help;
};

/// The member that holds the effective value. Its type determines the type of
/// the setting.
template <typename Owner>
using setting_member =
    std::variant<std::uint32_t Owner::*, double Owner::*, bool Owner::*,
                 milliseconds Owner::*, std::string Owner::*,
                 core::pool_name Owner::*, core::region_name Owner::*,
                 core::stage_name Owner::*, std::vector<std::string> Owner::*,
                 stage_kind Owner::*, zone_state Owner::*>;

/// One row of the settings schema.
template <typename Owner>
struct setting
{
    setting_info info;
    setting_member<Owner> member;
};

/// \return The settings whose effective values \a Owner holds.
template <typename Owner>
[[nodiscard]] auto settings_of() -> std::span<const setting<Owner>>;

template <>
auto settings_of<stage_settings>() -> std::span<const setting<stage_settings>>;
template <>
auto settings_of<pipeline_settings>()
    -> std::span<const setting<pipeline_settings>>;
template <>
auto settings_of<pool_settings>() -> std::span<const setting<pool_settings>>;
template <>
auto settings_of<workspace_settings>()
    -> std::span<const setting<workspace_settings>>;
template <>
auto settings_of<zone_settings>() -> std::span<const setting<zone_settings>>;
template <>
auto settings_of<fleet_settings>() -> std::span<const setting<fleet_settings>>;

/// A schema row without the owner's type; used by validation, explain() and the
/// reference page.
struct setting_row
{
    setting_info info;
    setting_type type = setting_type::count;
    std::vector<std::string> choices;
    std::string default_text;
};

/// \return All settings, grouped by owner.
[[nodiscard]] auto all_settings() -> const std::vector<setting_row>&;

/// \return The settings that are allowed at a level.
[[nodiscard]] auto settings_at(setting_level level)
    -> const std::vector<const setting_row*>&;

/// \return The level from which \a level inherits values; the root itself for
///         the root.
[[nodiscard]] auto parent_of(setting_level level) -> setting_level;

/// \return Whether the setting may be declared at \a level.
[[nodiscard]] auto is_allowed_at(const setting_info& info, setting_level level)
    -> bool;

/// \return A description of the allowed values, such as "an integer from 1 to
///         10".
[[nodiscard]] auto describe_allowed(const setting_row& row) -> std::string;

/// \return Whether \a text is a valid name for a declaration.
[[nodiscard]] auto is_name(std::string_view text) -> bool;

[[nodiscard]] auto to_string(setting_level level) -> std::string;
[[nodiscard]] auto to_string(setting_type type) -> std::string;

} // namespace almondtiller::settings
