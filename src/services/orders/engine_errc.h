#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::services {

/// Why an engine was not told, or did not take, an order.
enum class engine_errc
{
    unreachable = 1,
    not_permitted,
    stale_fencing,
    rejected,
    outcome_unknown,
    malformed_answer,
};

[[nodiscard]] auto engine_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(engine_errc code) -> std::error_code;

} // namespace almondtiller::services

template <>
struct std::is_error_code_enum<almondtiller::services::engine_errc>
    : std::true_type
{};
