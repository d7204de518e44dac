#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::api {

/// Reasons for which a caller's request was rejected or not completed.
enum class api_errc
{
    malformed_json = 1,
    wrong_type,
    missing_member,
    invalid_deadline,
    invalid_priority,
    invalid_idempotency_key,
    body_too_large,
    unknown_pipeline,
    unknown_workspace,
    idempotency_key_required,
    in_progress,
    outcome_unknown,
    no_configuration,
    node_isolated,
    node_leaving,
    upstream_failed,
    stream_broken,
    deadline_exceeded,
    caller_gone,
    not_found,
    overloaded,
    internal_error,
};

[[nodiscard]] auto api_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(api_errc code) -> std::error_code;

} // namespace almondtiller::api

template <>
struct std::is_error_code_enum<almondtiller::api::api_errc> : std::true_type
{};
