#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <system_error>
#include <variant>
#include <vector>

namespace almondtiller::routing {

/// Why an attempt is made; retries and hedges are charged to attempt budgets.
enum class attempt_reason
{
    first,
    retry,
    hedge,
};

/// Request of an upstream for one attempt of one stage.
struct attempt_request
{
    core::attempt_id id; ///< Unique; identifies the attempt in all results.
    core::workspace_name workspace;
    std::uint32_t workspace_weight = 1;
    /// Larger is more urgent; compared before deadlines.
    std::int32_t priority = 0;
    core::time_point deadline;
    /// Minimum time left until the deadline for the attempt to be started.
    core::duration min_budget{};
    attempt_reason reason = attempt_reason::first;
    /// Hash of workspace and prompt prefix; empty for stages without a prefix
    /// cache.
    std::optional<std::uint64_t> prefix_hash;
    /// Upstreams already tried for this request; avoided while another one is
    /// available.
    std::vector<core::upstream_id> excluded;
    /// Maximum number of attempts of the workspace that are queued or running
    /// for the pool at this node.
    std::uint32_t max_in_flight = 256;

    auto operator==(const attempt_request&) const -> bool = default;
};

/// An upstream as described by the instance list and the configuration.
struct upstream_member
{
    core::upstream_id id;
    core::zone_name zone;
    /// False for upstreams that are leaving or whose zone is out of service.
    bool accepts_work = true;

    auto operator==(const upstream_member&) const -> bool = default;
};

/// The load that an upstream reports of itself, with a delay.
struct load_report
{
    core::upstream_id id;
    std::string incarnation; ///< Changes when the upstream restarts.
    bool cold = false;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    /// Age of the values when the report was received.
    core::duration age{};

    auto operator==(const load_report&) const -> bool = default;
};

/// A change of an upstream's prefix cache, from an event of the upstream.
/// Events arrive late and may be lost, so that they serve only as hints.
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
    failed,     ///< The upstream failed or closed the connection early.
    refused,    ///< The upstream reported that it did not start it.
    not_sent,   ///< No byte of the request was written.
    timed_out,  ///< No response within the deadline.
    cancelled,  ///< Cancelled by this node, for example a losing hedge.
    mismatched, ///< The response belonged to another attempt.
};

struct attempt_result
{
    core::attempt_id id;
    core::upstream_id upstream;
    attempt_end end = attempt_end::succeeded;
    /// Time from dispatch to the end of the attempt.
    core::duration latency{};
    /// Measured cost in seconds of upstream time, charged to the workspace. 0
    /// when not measured; the latency is charged instead.
    double cost = 0.0;
    /// Incarnation of the upstream in the response; empty when not stated.
    std::string incarnation;
    bool reported_cold = false;

    auto operator==(const attempt_result&) const -> bool = default;
};

/// State of one upstream of a pool, for operators.
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

/// The decision to send an attempt to an upstream immediately.
struct dispatch
{
    core::attempt_id id;
    core::upstream_id upstream;
    /// Whether the upstream is cold, so that the attempt uses one of its slots.
    bool cold = false;
    /// Time by which the caller must have ended the attempt: its deadline, or
    /// earlier at a cold upstream, because the accounting of its slots relies
    /// on it.
    core::time_point finish_by{};

    auto operator==(const dispatch&) const -> bool = default;
};

/// The decision never to dispatch an attempt.
struct rejection
{
    core::attempt_id id;
    std::error_code reason;
    /// Delay after which a new request may succeed.
    core::duration retry_after{};

    auto operator==(const rejection&) const -> bool = default;
};

using action = std::variant<dispatch, rejection>;
using actions = std::vector<action>;

} // namespace almondtiller::routing
