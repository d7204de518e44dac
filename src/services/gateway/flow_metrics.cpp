#include "services/gateway/flow_metrics.h"

namespace almondtiller::gateway {

namespace {

using core::metric_kind;

constexpr auto requests_info = core::metric_info{
    "almondtiller_gateway_requests_total", metric_kind::counter,
    "Requests of callers that were read."};
constexpr auto outcomes_info = core::metric_info{
    "almondtiller_gateway_outcomes_total", metric_kind::counter,
    "Requests that have ended, by outcome and reason."};
constexpr auto retries_info = core::metric_info{
    "almondtiller_gateway_repeats_total", metric_kind::counter,
    "Sends of a request beyond its first, by reason."};
constexpr auto latency_info = core::metric_info{
    "almondtiller_gateway_latency_seconds", metric_kind::histogram,
    "Seconds from the reading of a request to the end of its answer."};
constexpr auto stage_info = core::metric_info{
    "almondtiller_gateway_stage_seconds", metric_kind::histogram,
    "Seconds from the owner's receipt of stage work to its end, by service."};
constexpr auto workspace_work_info = core::metric_info{
    "almondtiller_gateway_workspace_work_total", metric_kind::counter,
    "Requests and stage works that this node, the owner, decided, by workspace "
    "and outcome."};
constexpr auto workspace_wait_info = core::metric_info{
    "almondtiller_gateway_workspace_wait_seconds", metric_kind::histogram,
    "Seconds from the owner's receipt of work to its decision, by workspace."};

auto text_of(serving::route_kind kind) -> std::string
{
    switch (kind) {
    case serving::route_kind::idempotent:
        return "idempotent";
    case serving::route_kind::non_idempotent:
        return "non_idempotent";
    case serving::route_kind::streaming:
        return "streaming";
    }
    return "unknown";
}

} // namespace

flow_metrics::flow_metrics(core::metrics_registry& shared)
    : registry(shared), requests(shared.counter_for(requests_info))
{}

auto flow_metrics::count_request() -> void
{
    this->requests.add();
}

auto flow_metrics::count_outcome(std::string_view outcome,
                                 std::string_view reason) -> void
{
    this->registry
        .counter_for(outcomes_info, {{"outcome", std::string(outcome)},
                                     {"reason", std::string(reason)}})
        .add();
}

auto flow_metrics::count_retry(std::string_view reason) -> void
{
    this->registry.counter_for(retries_info, {{"reason", std::string(reason)}})
        .add();
}

auto flow_metrics::record_latency(std::string_view outcome,
                                  serving::route_kind kind,
                                  core::duration latency) -> void
{
    this->registry
        .histogram_for(latency_info, {{"outcome", std::string(outcome)},
                                      {"kind", text_of(kind)}})
        .record(latency);
}

auto flow_metrics::record_stage(const serving::service_name& service,
                                std::string_view outcome, core::duration time)
    -> void
{
    this->registry
        .histogram_for(stage_info, {{"service", service.str()},
                                    {"outcome", std::string(outcome)}})
        .record(time);
}

auto flow_metrics::record_workspace(const core::workspace_name& workspace,
                                    std::string_view outcome,
                                    core::duration wait) -> void
{
    const auto name = this->workspaces.name_for(workspace);
    this->registry
        .counter_for(workspace_work_info,
                     {{"workspace", name}, {"outcome", std::string(outcome)}})
        .add();
    this->registry.histogram_for(workspace_wait_info, {{"workspace", name}})
        .record(wait);
}

} // namespace almondtiller::gateway
