#pragma once

#include "core/metrics.h"
#include "fairness/bounded_names.h"
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

    /// Counts a request or stage work of a workspace that this node, the owner,
    /// has decided.
    /// \param wait From the receipt of the work to the decision.
    auto record_workspace(const core::workspace_name& workspace,
                          std::string_view outcome, core::duration wait)
        -> void;

private:
    /// Workspaces with metrics of their own.
    static constexpr auto max_workspaces = std::size_t(32);

    core::metrics_registry& registry;
    core::counter& requests;
    fairness::bounded_names workspaces{max_workspaces};
};

} // namespace almondtiller::gateway
