#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::settings {

using core::milliseconds;

/// Kind of work that a stage does. Stages of kind generate stream tokens,
/// stages of kind call send a request to an ordinary service.
enum class stage_kind
{
    encode,
    retrieve,
    rerank,
    generate,
    call,
};

/// Whether an availability zone may receive work, as set by operators.
enum class zone_state
{
    in,
    out,
};

/// The effective settings of one stage.
struct stage_settings
{
    core::stage_name name;
    stage_kind kind = stage_kind::call;
    core::pool_name pool;
    /// False when the stage must not be executed more than once.
    bool idempotent = true;
    /// Empty for stages without a model.
    std::string model;
    std::uint32_t max_tokens = 256;
    /// Minimum remaining budget with which the stage is started.
    milliseconds min_budget{0};
    /// Maximum number of attempts per request, including hedges.
    std::uint32_t max_attempts = 3;
    /// Whether a slow attempt may be hedged on another upstream.
    bool hedge = false;

    auto operator==(const stage_settings&) const -> bool = default;
};

/// The effective settings of one pipeline.
struct pipeline_settings
{
    core::pipeline_name name;
    /// In the order of execution.
    std::vector<stage_settings> stages;
    /// Used when a request has no deadline.
    milliseconds default_deadline{3000};
    milliseconds max_deadline{60000};

    auto operator==(const pipeline_settings&) const -> bool = default;
};

/// The effective settings of one pool of upstreams.
struct pool_settings
{
    core::pool_name name;
    /// Bounds of the adaptive limit of requests in flight at one upstream,
    /// summed over no more than this node's share.
    std::uint32_t min_concurrency = 1;
    std::uint32_t max_concurrency = 64;
    /// Maximum requests in flight at one cold upstream, over all nodes.
    std::uint32_t cold_capacity = 1;
    /// Number of completions after which a cold upstream counts as warm.
    std::uint32_t warm_completions = 8;
    /// An upstream that has not responded for this long counts as cold.
    milliseconds silence_until_cold{300000};
    /// Maximum number of requests queued for the pool at one node.
    std::uint32_t queue_limit = 256;
    /// Maximum ratio of retries to first attempts.
    double retry_ratio = 0.2;
    /// Maximum ratio of hedged attempts to first attempts.
    double hedge_ratio = 0.05;
    /// Cost by which the local zone must be worse than another zone before
    /// work is sent to the other zone.
    milliseconds spill_cost{5};
    /// Maximum share of a pool that may be ejected as outliers.
    double max_ejected_share = 0.34;
    /// Models that the engines of the pool keep loaded.
    std::vector<std::string> models;

    auto operator==(const pool_settings&) const -> bool = default;
};

/// The effective settings of one workspace.
struct workspace_settings
{
    core::workspace_name name;
    /// Weight in weighted fair queuing.
    std::uint32_t weight = 1;
    /// Maximum requests in flight at one node.
    std::uint32_t max_in_flight = 256;

    auto operator==(const workspace_settings&) const -> bool = default;
};

/// The effective settings of one availability zone.
struct zone_settings
{
    core::zone_name name;
    core::region_name region;
    zone_state state = zone_state::in;

    auto operator==(const zone_settings&) const -> bool = default;
};

/// Fleet-wide settings, declared at the root only.
struct fleet_settings
{
    /// How long a caller may cache an endpoint response.
    milliseconds endpoint_lifetime{2000};
    /// How long a leaving node keeps serving after its removal from the
    /// endpoint responses.
    milliseconds leave_delay{3000};
    milliseconds gossip_interval{500};
    milliseconds lease_duration{10000};
    /// How long a grant of slots at a cold upstream is valid.
    milliseconds grant_duration{1000};

    auto operator==(const fleet_settings&) const -> bool = default;
};

[[nodiscard]] auto to_string(stage_kind kind) -> std::string;
[[nodiscard]] auto to_string(zone_state state) -> std::string;

} // namespace almondtiller::settings
