#pragma once

#include "core/metrics.h"
#include "serving/configuration.h"

#include <string_view>

namespace almondtiller::gateway {

/// Counters and histograms of requests, by outcome and reason.
class flow_metrics
{
public:
    explicit flow_metrics(core::metrics_registry& registry);

    auto count_request() -> void;
    auto count_outcome(std::string_view outcome, std::string_view reason)
        -> void;
    auto count_retry(std::string_view reason) -> void;
    auto record_latency(std::string_view outcome, serving::route_kind kind,
                        core::duration latency) -> void;

    /// \param time From the receipt of stage work by this node, the owner, to
    ///        the end of that work.
    auto record_stage(const serving::service_name& service,
                      std::string_view outcome, core::duration time) -> void;

private:
    core::metrics_registry& registry;
    core::counter& requests;
};

} // namespace almondtiller::gateway
