#include "settings/schema.h"

#include <array>

namespace almondtiller::settings {

namespace {

using enum setting_level;

constexpr auto second_ms = 1000.0;
constexpr auto minute_ms = 60 * second_ms;
constexpr auto hour_ms = 60 * minute_ms;

const auto stage_rows = std::array{
    setting<stage_settings>{{"name", stage, false, true, 0, 0,
                             "Name of the stage, unique in its pipeline."},
                            &stage_settings::name},
    setting<stage_settings>{{"kind", stage, false, true, 0, 0,
                             "What the stage does; generate streams tokens, "
                             "call reaches a plain service."},
                            &stage_settings::kind},
    setting<stage_settings>{
        {"pool", stage, false, true, 0, 0, "Pool whose upstreams execute it."},
        &stage_settings::pool},
    setting<stage_settings>{
        {"idempotent", stage, true, false, 0, 0,
         "False when a second execution would do harm; the stage then runs at "
         "most once and needs max_attempts 1 and no hedge."},
        &stage_settings::idempotent},
    setting<stage_settings>{{"model", stage, true, false, 0, 0,
                             "Model that the stage asks for; empty for none."},
                            &stage_settings::model},
    setting<stage_settings>{{"max_tokens", stage, true, false, 1, 131072,
                             "Tokens that a generate stage may produce."},
                            &stage_settings::max_tokens},
    setting<stage_settings>{
        {"min_budget", stage, true, false, 0, 10 * minute_ms,
         "Least time left with which the stage is worth starting."},
        &stage_settings::min_budget},
    setting<stage_settings>{{"max_attempts", stage, true, false, 1, 10,
                             "Attempts of one request at this stage, first, "
                             "retries and hedges together."},
                            &stage_settings::max_attempts},
    setting<stage_settings>{{"hedge", stage, true, false, 0, 0,
                             "Whether a slow attempt may be doubled on another "
                             "upstream."},
                            &stage_settings::hedge},
};

const auto pipeline_rows = std::array{
    setting<pipeline_settings>{{"default_deadline", pipeline, true, false, 10,
                                hour_ms,
                                "Deadline of requests that bring none."},
                               &pipeline_settings::default_deadline},
    setting<pipeline_settings>{{"max_deadline", pipeline, true, false, 10,
                                hour_ms,
                                "Largest deadline that a request may ask for."},
                               &pipeline_settings::max_deadline},
};

const auto pool_rows = std::array{
    setting<pool_settings>{
        {"min_concurrency", pool, true, false, 1, 4096,
         "Lower bound of the adaptive limit of requests in flight at one "
         "upstream."},
        &pool_settings::min_concurrency},
    setting<pool_settings>{{"max_concurrency", pool, true, false, 1, 4096,
                            "Upper bound of that limit."},
                           &pool_settings::max_concurrency},
    setting<pool_settings>{{"cold_capacity", pool, true, false, 1, 4096,
                            "Requests in flight that one cold upstream bears, "
                            "summed over all nodes."},
                           &pool_settings::cold_capacity},
    setting<pool_settings>{{"warm_completions", pool, true, false, 1, 10000,
                            "Completions that make a cold upstream warm."},
                           &pool_settings::warm_completions},
    setting<pool_settings>{
        {"silence_until_cold", pool, true, false, second_ms, 24 * hour_ms,
         "An upstream from which nothing was heard for so long is cold."},
        &pool_settings::silence_until_cold},
    setting<pool_settings>{{"queue_limit", pool, true, false, 1, 65536,
                            "Requests that wait for the pool at one node."},
                           &pool_settings::queue_limit},
    setting<pool_settings>{{"retry_ratio", pool, true, false, 0, 0.2,
                            "Retries as a share of first attempts."},
                           &pool_settings::retry_ratio},
    setting<pool_settings>{{"hedge_ratio", pool, true, false, 0, 0.2,
                            "Hedged attempts as a share of first attempts."},
                           &pool_settings::hedge_ratio},
    setting<pool_settings>{
        {"spill_cost", pool, true, false, 0, 10 * second_ms,
         "How much worse the local zone must be before work leaves it."},
        &pool_settings::spill_cost},
    setting<pool_settings>{
        {"max_ejected_share", pool, true, false, 0, 1,
         "Largest share of the pool that may be ejected as outliers."},
        &pool_settings::max_ejected_share},
    setting<pool_settings>{{"models", pool, true, false, 0, 0,
                            "Models that the pool's engines keep loaded."},
                           &pool_settings::models},
};

const auto workspace_rows = std::array{
    setting<workspace_settings>{{"weight", workspace, true, false, 1, 1000,
                                 "Share in weighted fair queuing."},
                                &workspace_settings::weight},
    setting<workspace_settings>{
        {"max_in_flight", workspace, true, false, 1, 65536,
         "Requests of the workspace in flight at one node."},
        &workspace_settings::max_in_flight},
};

const auto zone_rows = std::array{
    setting<zone_settings>{{"region", zone, true, false, 0, 0,
                            "Region that the availability zone is part of."},
                           &zone_settings::region},
    setting<zone_settings>{{"state", zone, false, false, 0, 0,
                            "Whether the availability zone gets work; "
                            "tillerctl zone out and in change it as well."},
                           &zone_settings::state},
};

const auto fleet_rows = std::array{
    setting<fleet_settings>{{"endpoint_lifetime", root, true, false, 100,
                             minute_ms,
                             "How long a caller may keep an endpoint answer."},
                            &fleet_settings::endpoint_lifetime},
    setting<fleet_settings>{
        {"leave_delay", root, true, false, 100, 10 * minute_ms,
         "How long a leaving node serves on after it left the endpoint "
         "answers; longer than endpoint_lifetime."},
        &fleet_settings::leave_delay},
    setting<fleet_settings>{{"gossip_interval", root, true, false, 50,
                             10 * second_ms,
                             "Time between two gossip rounds of a node."},
                            &fleet_settings::gossip_interval},
    setting<fleet_settings>{
        {"lease_duration", root, true, false, second_ms, 5 * minute_ms,
         "How long a region's lease is valid without renewal."},
        &fleet_settings::lease_duration},
    setting<fleet_settings>{
        {"grant_duration", root, true, false, 100, minute_ms,
         "How long a grant of slots at a cold upstream is valid."},
        &fleet_settings::grant_duration},
};

} // namespace

template <>
auto settings_of<stage_settings>() -> std::span<const setting<stage_settings>>
{
    return stage_rows;
}

template <>
auto settings_of<pipeline_settings>()
    -> std::span<const setting<pipeline_settings>>
{
    return pipeline_rows;
}

template <>
auto settings_of<pool_settings>() -> std::span<const setting<pool_settings>>
{
    return pool_rows;
}

template <>
auto settings_of<workspace_settings>()
    -> std::span<const setting<workspace_settings>>
{
    return workspace_rows;
}

template <>
auto settings_of<zone_settings>() -> std::span<const setting<zone_settings>>
{
    return zone_rows;
}

template <>
auto settings_of<fleet_settings>() -> std::span<const setting<fleet_settings>>
{
    return fleet_rows;
}

} // namespace almondtiller::settings
