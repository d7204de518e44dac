#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::claims {

/// Reasons for which a claim was not granted. After any of these errors the
/// request was not executed.
enum class claims_errc
{
    store_unavailable = 1,
    deadline_passed,
    key_reused,
    bucket_full,
    unknown_claim,
    shutting_down,
};

[[nodiscard]] auto claims_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(claims_errc code) -> std::error_code;

} // namespace almondtiller::claims

template <>
struct std::is_error_code_enum<almondtiller::claims::claims_errc>
    : std::true_type
{};
