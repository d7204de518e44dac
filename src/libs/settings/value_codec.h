#pragma once

#include "settings/effective.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::settings {

/// Read a declared value. Each overload returns false and leaves the target
/// unchanged when the value has the wrong type or unit.
auto read_value(const nlohmann::json& value, std::uint32_t& target) -> bool;
auto read_value(const nlohmann::json& value, double& target) -> bool;
auto read_value(const nlohmann::json& value, bool& target) -> bool;
auto read_value(const nlohmann::json& value, milliseconds& target) -> bool;
auto read_value(const nlohmann::json& value, std::string& target) -> bool;
auto read_value(const nlohmann::json& value, std::vector<std::string>& target)
    -> bool;
auto read_value(const nlohmann::json& value, stage_kind& target) -> bool;
auto read_value(const nlohmann::json& value, zone_state& target) -> bool;

/// Reads an identifier from a string.
template <typename Tag>
auto read_value(const nlohmann::json& value, core::typed_id<Tag>& target)
    -> bool
{
    auto text = std::string();
    if (!read_value(value, text)) {
        return false;
    }
    target = core::typed_id<Tag>(text);
    return true;
}

/// Format an effective value as it would be declared, as JSON text.
[[nodiscard]] auto format_value(std::uint32_t value) -> std::string;
[[nodiscard]] auto format_value(double value) -> std::string;
[[nodiscard]] auto format_value(bool value) -> std::string;
[[nodiscard]] auto format_value(milliseconds value) -> std::string;
[[nodiscard]] auto format_value(const std::string& value) -> std::string;
[[nodiscard]] auto format_value(const std::vector<std::string>& value)
    -> std::string;
[[nodiscard]] auto format_value(stage_kind value) -> std::string;
[[nodiscard]] auto format_value(zone_state value) -> std::string;

template <typename Tag>
[[nodiscard]] auto format_value(const core::typed_id<Tag>& value) -> std::string
{
    return format_value(value.str());
}

/// \return The names of all enumerators.
[[nodiscard]] auto stage_kind_names() -> std::vector<std::string>;
[[nodiscard]] auto zone_state_names() -> std::vector<std::string>;

} // namespace almondtiller::settings
