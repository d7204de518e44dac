#pragma once

#include "routing/attempt_budget.h"
#include "routing/latency_estimator.h"
#include "routing/routing_errc.h"
#include "routing/upstream_table.h"
#include "routing/wait_queue.h"

#include <optional>
#include <unordered_map>

namespace almondtiller::routing {

/// The state of a pool_scheduler: which attempts wait and run, and the steps
/// that admit, dispatch, refuse and account for them. Set \a now before each
/// step.
struct pool_state
{
    /// A dispatched attempt and the cost that was charged for it.
    struct running
    {
        work item;
        core::upstream_id upstream;
        double charged = 0.0;
    };

    pool_state(const settings::pool_settings& settings,
               core::zone_name local_zone, std::uint64_t seed);

    auto refresh_quantiles() -> void;

    /// \return The wait of an attempt behind \a ahead others.
    [[nodiscard]] auto expected_wait(double ahead) const -> core::duration;
    [[nodiscard]] auto retry_after() const -> core::duration;
    [[nodiscard]] auto refuse(const work& item, routing_errc why) const
        -> refusal;
    [[nodiscard]] auto running_of(const core::workspace_name& workspace) const
        -> std::uint32_t;
    [[nodiscard]] auto is_over_limit(const work& item) const -> bool;

    /// With nothing in flight the estimates may be outdated, so that one
    /// attempt is let through to renew them.
    [[nodiscard]] auto is_unreachable(const work& item) const -> bool;

    /// Admits an attempt and charges its budget, or says why not.
    auto check(const work& item) -> std::optional<refusal>;

    /// Hedges count against both budgets, so that all extra attempts together
    /// stay within the retry ratio.
    auto charge_budget(const work& item) -> std::optional<refusal>;
    auto give_back_budget(const work& item) -> void;
    auto refuse_queued(const work& item, refusal why, actions& taken) -> void;
    auto refuse_expired(actions& taken) -> void;
    auto refuse_unservable(actions& taken) -> void;
    auto start(work item, dispatch chosen, actions& taken) -> void;

    /// Offers one waiting attempt an upstream.
    auto place(const work& item, std::optional<dispatch>& chosen) -> placement;

    /// Dispatches and refuses whatever can be decided now.
    auto drain() -> actions;

    /// Says that upstreams may have room again; drain() looks for some by
    /// itself only every few milliseconds.
    auto expect_room() -> void;
    [[nodiscard]] auto is_blocked() const -> bool;
    auto record(const attempt_result& result, const running& ended) -> void;

    settings::pool_settings settings;
    upstream_table upstreams;
    wait_queue queue;
    attempt_budget retries;
    attempt_budget hedges;
    latency_estimator latencies;
    std::unordered_map<core::attempt_id, running> attempts;
    std::unordered_map<core::workspace_name, std::uint32_t> workspace_running;
    core::time_point now;
    /// When all upstreams were found to have no room.
    std::optional<core::time_point> blocked_at;
    core::time_point last_submit = core::time_point::min();
    core::time_point quantiles_at = core::time_point::min();
    core::duration median{};
    core::duration fastest{};
    double cost = 0.0;
};

} // namespace almondtiller::routing
