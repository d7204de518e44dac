#pragma once

#include "harness/cluster.h"

namespace almondtiller::harness {

/// How the stand-ins of a plan behave.
struct plan_options
{
    /// Time of one token at an engine.
    double token_ms = 2.0;
    /// Time of a stage at a pool member or plain service.
    double service_ms = 5.0;
    /// Requests at once at one engine.
    std::uint32_t engine_capacity = 8;
    bool upstreams_behind_proxies = false;
    bool platform_behind_proxy = false;
    bool starts_cold = false;
    std::uint32_t nodes = 6;
};

/// The cluster of examples/grua-norte in its size of today.
auto grua_norte_plan(const plan_options& options) -> cluster_plan;

/// The cluster of examples/ikaze in its size of today.
auto ikaze_plan(const plan_options& options) -> cluster_plan;

} // namespace almondtiller::harness
