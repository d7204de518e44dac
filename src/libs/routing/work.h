#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <system_error>
#include <variant>
#include <vector>

namespace almondtiller::routing {

/// Why an attempt is made; retries and hedges are charged to their budgets.
enum class attempt_reason
{
    first,
    retry,
    hedge,
};

/// One attempt of one stage that wants an upstream.
struct work
{
    core::attempt_id id; ///< Unique; the key of everything that follows.
    core::workspace_name workspace;
    std::uint32_t workspace_weight = 1;
    /// Larger is more urgent; compared before deadlines.
    std::int32_t priority = 0;
    core::time_point deadline;
    /// The least remaining time with which the attempt is worth starting.
    core::duration min_budget{};
    attempt_reason reason = attempt_reason::first;
    /// Hash of workspace and prompt prefix, for stages with a prefix cache.
    std::optional<std::uint64_t> prefix_hash;
    /// Upstreams that this request has tried already.
    std::vector<core::upstream_id> excluded;
    /// Attempts of the workspace that wait or run for the pool at this node,
    /// at most.
    std::uint32_t max_in_flight = 256;

    auto operator==(const work&) const -> bool = default;
};

/// An upstream as the instance list and the configuration describe it.
struct upstream_member
{
    core::upstream_id id;
    core::zone_name zone;
    /// False for leaving upstreams and for zones that are out.
    bool accepts_work = true;

    auto operator==(const upstream_member&) const -> bool = default;
};

/// What an upstream says of itself; it lags.
struct load_report
{
    core::upstream_id id;
    std::string incarnation; ///< Changes when the upstream restarts.
    bool cold = false;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    /// Age of the values when they were received.
    core::duration age{};

    auto operator==(const load_report&) const -> bool = default;
};

/// What an upstream's event says of its prefix cache. Events come late and
/// with gaps, so that they are hints and nothing more.
struct cache_hint
{
    core::upstream_id id;
    std::uint64_t prefix_hash = 0;
    bool stored = true; ///< False when the prefix was evicted.

    auto operator==(const cache_hint&) const -> bool = default;
};

/// How an attempt ended.
enum class attempt_end
{
    succeeded,
    failed,     ///< The upstream executed and failed, or broke off.
    refused,    ///< The upstream said that it did not start.
    not_sent,   ///< No byte of the request was written.
    timed_out,  ///< No answer within the deadline.
    cancelled,  ///< We gave it up, for example the loser of a hedge.
    mismatched, ///< The answer was not this attempt's.
};

struct attempt_result
{
    core::attempt_id id;
    core::upstream_id upstream;
    attempt_end end = attempt_end::succeeded;
    /// From dispatch to the end.
    core::duration latency{};
    /// Measured cost, charged to the workspace; seconds of upstream time.
    double cost = 0.0;
    /// What the answer said of its upstream; empty when it said nothing.
    std::string incarnation;
    bool reported_cold = false;

    auto operator==(const attempt_result&) const -> bool = default;
};

/// How one upstream stands in its pool, for operators.
struct upstream_status
{
    core::upstream_id id;
    core::zone_name zone;
    bool cold = false;
    bool ejected = false;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;

    auto operator==(const upstream_status&) const -> bool = default;
};

/// Send the attempt to this upstream now.
struct dispatch
{
    core::attempt_id id;
    core::upstream_id upstream;
    /// Whether the upstream is cold and the attempt uses one of its slots.
    bool cold = false;
    /// When the shell must have ended the attempt: its deadline, and sooner
    /// for cold upstreams, whose slots are counted on it.
    core::time_point finish_by{};

    auto operator==(const dispatch&) const -> bool = default;
};

/// The attempt will not be dispatched, now or later.
struct refusal
{
    core::attempt_id id;
    std::error_code reason;
    /// When a new request is worth making.
    core::duration retry_after{};

    auto operator==(const refusal&) const -> bool = default;
};

using action = std::variant<dispatch, refusal>;
using actions = std::vector<action>;

} // namespace almondtiller::routing
