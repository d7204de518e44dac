#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::routing {

/// Why an attempt was rejected or cancelled; it was not started in any case.
enum class routing_errc
{
    queue_full = 1,
    deadline_unreachable,
    deadline_passed,
    no_upstream,
    workspace_limit,
    retry_budget_spent,
    attempts_spent,
    withdrawn,
    hedge_budget_spent,
    upstream_cold,
};

[[nodiscard]] auto routing_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(routing_errc code) -> std::error_code;

} // namespace almondtiller::routing

template <>
struct std::is_error_code_enum<almondtiller::routing::routing_errc>
    : std::true_type
{};
