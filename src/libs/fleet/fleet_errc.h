#pragma once

#include "core/errc.h"

#include <system_error>

namespace almondtiller::fleet {

/// Errors of calls between nodes and of the distribution of configuration.
enum class fleet_errc
{
    peer_unreachable = 1,
    peer_timeout,
    unknown_topic,
    malformed_message,
    stale_revision,
    digest_mismatch,
    shard_missing,
    revision_conflict,
    change_forgotten,
    unknown_zone,
    message_too_large,
    too_many_calls,
    shutting_down,
    peer_failed,
    address_unavailable,
    store_budget_spent,
};

[[nodiscard]] auto fleet_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(fleet_errc code) -> std::error_code;

} // namespace almondtiller::fleet

template <>
struct std::is_error_code_enum<almondtiller::fleet::fleet_errc> : std::true_type
{};
