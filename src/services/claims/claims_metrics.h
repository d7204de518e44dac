#pragma once

#include "core/metrics.h"

namespace almondtiller::services {

inline constexpr auto claim_decisions = core::metric_info{
    "almondtiller_claims_total", core::metric_kind::counter,
    "Claims of idempotency keys by verdict or refusal reason."};

inline constexpr auto claim_ends = core::metric_info{
    "almondtiller_claim_ends_total", core::metric_kind::counter,
    "Ends of claimed executions by kind."};

inline constexpr auto claim_routes = core::metric_info{
    "almondtiller_claim_routes_total", core::metric_kind::counter,
    "Claims by who decided them: this node, the bucket's owner, or this node "
    "because the owner was silent."};

inline constexpr auto claim_store_calls = core::metric_info{
    "almondtiller_claim_store_calls_total", core::metric_kind::counter,
    "Calls to the platform's store for claims by call and result."};

inline constexpr auto claim_duration = core::metric_info{
    "almondtiller_claim_duration_seconds", core::metric_kind::histogram,
    "Time to decide a claim, in seconds."};

} // namespace almondtiller::services
