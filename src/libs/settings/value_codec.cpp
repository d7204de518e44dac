#include "settings/value_codec.h"

#include "settings/quantity.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

constexpr auto stage_kinds =
    std::array{stage_kind::encode, stage_kind::retrieve, stage_kind::rerank,
               stage_kind::generate, stage_kind::call};
constexpr auto zone_states = std::array{zone_state::in, zone_state::out};

template <typename Enumerators>
auto names_of(const Enumerators& enumerators) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto enumerator : enumerators) {
        names.push_back(to_string(enumerator));
    }
    return names;
}

template <typename Enumerators, typename Enum>
auto read_choice(const json& value, const Enumerators& enumerators,
                 Enum& target) -> bool
{
    for (const auto enumerator : enumerators) {
        if (value.is_string() && value == to_string(enumerator)) {
            target = enumerator;
            return true;
        }
    }
    return false;
}

} // namespace

auto read_value(const json& value, std::uint32_t& target) -> bool
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() >
            std::numeric_limits<std::uint32_t>::max()) {
        return false;
    }
    target = value.get<std::uint32_t>();
    return true;
}

auto read_value(const json& value, double& target) -> bool
{
    if (!value.is_number()) {
        return false;
    }
    target = value.get<double>();
    return true;
}

auto read_value(const json& value, bool& target) -> bool
{
    if (!value.is_boolean()) {
        return false;
    }
    target = value.get<bool>();
    return true;
}

auto read_value(const json& value, milliseconds& target) -> bool
{
    if (!value.is_string()) {
        return false;
    }
    const auto parsed = parse_duration(value.get_ref<const std::string&>());
    if (!parsed) {
        return false;
    }
    target = parsed.value();
    return true;
}

auto read_value(const json& value, std::string& target) -> bool
{
    if (!value.is_string()) {
        return false;
    }
    target = value.get<std::string>();
    return true;
}

auto read_value(const json& value, std::vector<std::string>& target) -> bool
{
    if (!value.is_array()) {
        return false;
    }
    auto names = std::vector<std::string>();
    for (const auto& item : value) {
        if (!item.is_string()) {
            return false;
        }
        names.push_back(item.get<std::string>());
    }
    target = std::move(names);
    return true;
}

auto read_value(const json& value, stage_kind& target) -> bool
{
    return read_choice(value, stage_kinds, target);
}

auto read_value(const json& value, zone_state& target) -> bool
{
    return read_choice(value, zone_states, target);
}

auto format_value(std::uint32_t value) -> std::string
{
    return std::to_string(value);
}

auto format_value(double value) -> std::string
{
    return json(value).dump();
}

auto format_value(bool value) -> std::string
{
    return value ? "true" : "false";
}

auto format_value(milliseconds value) -> std::string
{
    return '"' + format_duration(value) + '"';
}

auto format_value(const std::string& value) -> std::string
{
    return json(value).dump();
}

auto format_value(const std::vector<std::string>& value) -> std::string
{
    return json(value).dump();
}

auto format_value(stage_kind value) -> std::string
{
    return format_value(to_string(value));
}

auto format_value(zone_state value) -> std::string
{
    return format_value(to_string(value));
}

auto stage_kind_names() -> std::vector<std::string>
{
    return names_of(stage_kinds);
}

auto zone_state_names() -> std::vector<std::string>
{
    return names_of(zone_states);
}

} // namespace almondtiller::settings
