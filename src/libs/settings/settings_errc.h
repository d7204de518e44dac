#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::settings {

/// Reasons for which declarations were rejected.
enum class settings_errc
{
    malformed_json = 1,
    unknown_key,
    wrong_type,
    out_of_range,
    missing_reference,
    duplicate_declaration,
    inconsistent,
    missing_setting,
};

[[nodiscard]] auto settings_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(settings_errc code) -> std::error_code;

} // namespace almondtiller::settings

template <>
struct std::is_error_code_enum<almondtiller::settings::settings_errc>
    : std::true_type
{};
