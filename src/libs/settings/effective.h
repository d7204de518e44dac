#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::settings {

using core::milliseconds;

/// What a stage does; generate stages stream tokens, call stages reach plain
/// services.
enum class stage_kind
{
    encode,
    retrieve,
    rerank,
    generate,
    call,
};

/// Whether operators let an availability zone receive work.
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
    /// False when a second execution would do harm.
    bool idempotent = true;
    /// Empty for stages without a model.
    std::string model;
    std::uint32_t max_tokens = 256;
    /// The least budget with which the stage is worth starting.
    milliseconds min_budget{0};
    /// All attempts of one request together, hedges included.
    std::uint32_t max_attempts = 3;
    /// Whether a slow attempt may be doubled on another upstream.
    bool hedge = false;

    auto operator==(const stage_settings&) const -> bool = default;
};

/// The effective settings of one pipeline.
struct pipeline_settings
{
    core::pipeline_name name;
    /// In the order of execution.
    std::vector<stage_settings> stages;
    /// Used when a request brings none.
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
    /// Requests that one cold upstream bears, summed over all nodes.
    std::uint32_t cold_capacity = 1;
    /// Completions that make a cold upstream warm.
    std::uint32_t warm_completions = 8;
    /// An upstream from which nothing was heard for so long is cold.
    milliseconds silence_until_cold{300000};
    /// Requests that wait at this node for the pool, at most.
    std::uint32_t queue_limit = 256;
    /// Retries as a share of first attempts.
    double retry_ratio = 0.2;
    /// Hedged attempts as a share of first attempts.
    double hedge_ratio = 0.05;
    /// How much worse the local zone must be before work leaves it.
    milliseconds spill_cost{5};
    /// The largest share of a pool that may be ejected as outliers.
    double max_ejected_share = 0.34;
    /// Models that the pool's engines keep loaded.
    std::vector<std::string> models;

    auto operator==(const pool_settings&) const -> bool = default;
};

/// The effective settings of one workspace.
struct workspace_settings
{
    core::workspace_name name;
    /// Share in weighted fair queuing.
    std::uint32_t weight = 1;
    /// Requests in flight at one node, at most.
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

/// Settings of the fleet itself; declared at the root only.
struct fleet_settings
{
    /// How long a caller may keep an endpoint answer.
    milliseconds endpoint_lifetime{2000};
    /// How long a leaving node serves on after it left the answers.
    milliseconds leave_delay{3000};
    milliseconds gossip_interval{500};
    milliseconds lease_duration{10000};
    /// How long a cold start grant is valid.
    milliseconds grant_duration{1000};

    auto operator==(const fleet_settings&) const -> bool = default;
};

[[nodiscard]] auto to_string(stage_kind kind) -> std::string;
[[nodiscard]] auto to_string(zone_state state) -> std::string;

} // namespace almondtiller::settings
