#include "routing/routing_errc.h"

#include <array>

namespace almondtiller::routing {

namespace {

using core::error_entry;

constexpr auto entries = std::array{
    error_entry{int(routing_errc::queue_full), "queue_full",
                "too many requests wait for the pool"},
    error_entry{int(routing_errc::deadline_unreachable), "deadline_unreachable",
                "the remaining budget is too small for the stage"},
    error_entry{int(routing_errc::deadline_passed), "deadline_passed",
                "the deadline passed while the request was waiting"},
    error_entry{int(routing_errc::no_upstream), "no_upstream",
                "the pool has no upstream that may receive work"},
    error_entry{int(routing_errc::workspace_limit), "workspace_limit",
                "the workspace has too many requests in flight"},
    error_entry{int(routing_errc::retry_budget_spent), "retry_budget_spent",
                "the pool's retry budget is spent"},
    error_entry{int(routing_errc::attempts_spent), "attempts_spent",
                "the stage's attempts are spent"},
    error_entry{int(routing_errc::withdrawn), "withdrawn",
                "the caller gave the request up"},
    error_entry{int(routing_errc::hedge_budget_spent), "hedge_budget_spent",
                "the pool's budget for hedged attempts is spent"},
    error_entry{int(routing_errc::upstream_cold), "upstream_cold",
                "every upstream of the pool is cold and has no free slot"},
};

} // namespace

auto routing_category() -> const core::table_category&
{
    static const auto category = core::table_category("routing", entries);
    return category;
}

auto make_error_code(routing_errc code) -> std::error_code
{
    return {int(code), routing_category()};
}

} // namespace almondtiller::routing
