#pragma once

#include "settings/effective.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::settings {

/// Readers of declared values; each leaves the target alone and returns false
/// when the value has another type or unit.
auto read_value(const nlohmann::json& value, std::uint32_t& target) -> bool;
auto read_value(const nlohmann::json& value, double& target) -> bool;
auto read_value(const nlohmann::json& value, bool& target) -> bool;
auto read_value(const nlohmann::json& value, milliseconds& target) -> bool;
auto read_value(const nlohmann::json& value, std::string& target) -> bool;
auto read_value(const nlohmann::json& value, std::vector<std::string>& target)
    -> bool;
auto read_value(const nlohmann::json& value, stage_kind& target) -> bool;
auto read_value(const nlohmann::json& value, zone_state& target) -> bool;

/// Reads a string into an identifier.
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

/// Writers of effective values, as an operator would declare them.
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

/// \return Every word that a choice may be.
[[nodiscard]] auto stage_kind_names() -> std::vector<std::string>;
[[nodiscard]] auto zone_state_names() -> std::vector<std::string>;

} // namespace almondtiller::settings
