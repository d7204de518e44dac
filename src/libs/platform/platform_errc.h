#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::platform {

/// Errors of calls to the platform. After outcome_unknown a write may have
/// taken effect; after any other error it did not.
enum class platform_errc
{
    not_found = 1,
    already_exists,
    version_conflict,
    rate_limited,
    unavailable,
    outcome_unknown,
    value_too_large,
    malformed_answer,
    watch_expired,
};

[[nodiscard]] auto platform_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(platform_errc code) -> std::error_code;

} // namespace almondtiller::platform

template <>
struct std::is_error_code_enum<almondtiller::platform::platform_errc>
    : std::true_type
{};
