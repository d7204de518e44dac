#pragma once

#include "routing/attempt_budget.h"
#include "routing/latency_estimator.h"
#include "routing/routing_errc.h"
#include "routing/upstream_table.h"
#include "routing/wait_queue.h"

#include <optional>
#include <unordered_map>

namespace almondtiller::routing {

/// The state of a pool_scheduler: its queued and running attempts, and the
/// operations that admit, dispatch, reject and account for them. The caller
/// must set \a now before each operation.
struct pool_state
{
    /// A dispatched attempt and the estimated cost charged for it.
    struct running_attempt
    {
        attempt_request item;
        core::upstream_id upstream;
        double charged = 0.0;
    };

    pool_state(const settings::pool_settings& settings,
               core::zone_name local_zone, std::uint64_t seed);

    auto refresh_quantiles() -> void;

    /// \return The estimated wait of an attempt with \a ahead attempts queued
    ///         before it; zero when the pool has no capacity.
    [[nodiscard]] auto expected_wait(double ahead) const -> core::duration;
    [[nodiscard]] auto retry_after() const -> core::duration;
    [[nodiscard]] auto make_rejection(const attempt_request& item,
                                      routing_errc why) const -> rejection;
    [[nodiscard]] auto
    attempts_running(const core::workspace_name& workspace) const
        -> std::uint32_t;
    [[nodiscard]] auto is_over_limit(const attempt_request& item) const -> bool;

    /// \return Whether the attempt probably cannot end before its deadline.
    ///         With nothing in flight the estimates may be outdated, so that
    ///         one attempt is admitted to renew them.
    [[nodiscard]] auto cannot_meet_deadline(const attempt_request& item) const
        -> bool;

    /// Checks whether an attempt may be queued and charges its budget.
    /// \return The reason for a rejection; empty when the attempt is admitted.
    auto admit(const attempt_request& item) -> std::optional<rejection>;

    /// Charges hedges to both budgets, so that the sum of retries and hedges
    /// stays within the retry ratio.
    auto charge_budget(const attempt_request& item) -> std::optional<rejection>;
    auto refund_budget(const attempt_request& item) -> void;
    auto reject_queued(const attempt_request& item, rejection why,
                       actions& taken) -> void;
    auto reject_expired(actions& taken) -> void;
    auto reject_unservable(actions& taken) -> void;
    auto start_attempt(attempt_request item, dispatch chosen, actions& taken)
        -> void;

    /// Tries to choose an upstream for a queued attempt.
    auto place(const attempt_request& item, std::optional<dispatch>& chosen)
        -> placement;

    /// Dispatches and rejects all attempts that can be decided now.
    auto process_queue() -> actions;

    /// Clears the blocked state because an upstream may have free capacity
    /// again. Without this call, process_queue() checks for free capacity only
    /// every few milliseconds.
    auto clear_blocked() -> void;
    [[nodiscard]] auto is_blocked() const -> bool;
    auto record(const attempt_result& result, const running_attempt& ended)
        -> void;

    settings::pool_settings settings;
    upstream_table upstreams;
    wait_queue queue;
    attempt_budget retries;
    attempt_budget hedges;
    latency_estimator latencies;
    std::unordered_map<core::attempt_id, running_attempt> running_attempts;
    std::unordered_map<core::workspace_name, std::uint32_t>
        running_by_workspace;
    core::time_point now;
    /// When the last check found no upstream with free capacity; empty while
    /// not blocked.
    std::optional<core::time_point> blocked_at;
    core::time_point last_submit = core::time_point::min();
    core::time_point quantiles_at = core::time_point::min();
    core::duration median{};
    core::duration low_latency{};
    double average_cost = 0.0;
};

} // namespace almondtiller::routing
