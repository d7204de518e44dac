#include "services/execution/run_costs.h"

#include "core/errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::services {

namespace {

using core::metric_info;
using core::metric_kind;

/// Workspaces with time series of their own; the others share one.
constexpr auto max_workspace_labels = std::size_t(64);
constexpr auto other_workspaces = "other";

constexpr auto requests_info =
    metric_info{"almondtiller_requests_total", metric_kind::counter,
                "Requests that ended, by pipeline and outcome."};
constexpr auto refusals_info =
    metric_info{"almondtiller_refusals_total", metric_kind::counter,
                "Requests that were refused or failed, by reason."};
constexpr auto retries_info =
    metric_info{"almondtiller_retries_total", metric_kind::counter,
                "Retries, by how the attempt before ended."};
constexpr auto stage_latency_info =
    metric_info{"almondtiller_stage_seconds", metric_kind::histogram,
                "Time from a stage's start to its end in seconds."};
constexpr auto stage_time_info = metric_info{
    "almondtiller_stage_busy_microseconds_total", metric_kind::counter,
    "Upstream time that attempts took, in microseconds."};
constexpr auto stage_attempts_info =
    metric_info{"almondtiller_stage_attempts_total", metric_kind::counter,
                "Attempts by stage."};
constexpr auto stage_wasted_info = metric_info{
    "almondtiller_stage_wasted_attempts_total", metric_kind::counter,
    "Attempts whose work became part of no answer."};
constexpr auto stage_tokens_info =
    metric_info{"almondtiller_stage_tokens_total", metric_kind::counter,
                "Tokens of answers by stage."};

auto microseconds_of(core::duration time) -> std::uint64_t
{
    return std::uint64_t(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

} // namespace

run_costs::run_costs(core::metrics_registry& metrics) : metrics(metrics)
{}

auto run_costs::count_retry(routing::attempt_end cause) -> void
{
    this->metrics
        .counter_for(retries_info, {{"reason", pipeline::to_string(cause)}})
        .add();
}

auto run_costs::count_problem(const api::problem& described) -> void
{
    this->metrics
        .counter_for(refusals_info,
                     {{"reason", core::error_name(described.code)},
                      {"outcome", api::to_string(described.outcome)}})
        .add();
}

auto run_costs::count_run(const pipeline::pipeline_run& run,
                          const core::workspace_name& workspace, bool complete,
                          bool in_time) -> void
{
    const auto& pipeline = run.plan().pipeline.name.str();
    const auto outcome = in_time ? "in_time" : complete ? "late" : "failed";
    this->metrics
        .counter_for(requests_info,
                     {{"pipeline", pipeline}, {"outcome", outcome}})
        .add();
    const auto label = this->workspace_label(workspace);
    const auto guard = std::lock_guard(this->mutex);
    auto& total = this->totals[pipeline];
    ++total.runs;
    total.complete += complete ? 1 : 0;
    total.in_time += in_time ? 1 : 0;
    for (auto at = std::size_t(0); at < run.records().size(); ++at) {
        this->count_stage(run, at, label);
    }
}

auto run_costs::count_stage(const pipeline::pipeline_run& run,
                            std::size_t index, const std::string& workspace)
    -> void
{
    const auto& record = run.records()[index];
    if (record.attempts == 0) {
        return;
    }
    const auto& pipeline = run.plan().pipeline;
    const auto& stage = pipeline.stages[index].name.str();
    const auto labels = core::metric_labels{{"pipeline", pipeline.name.str()},
                                            {"stage", stage},
                                            {"workspace", workspace}};
    this->metrics
        .histogram_for(stage_latency_info,
                       {{"pipeline", pipeline.name.str()}, {"stage", stage}})
        .record(record.elapsed);
    this->metrics.counter_for(stage_attempts_info, labels).add(record.attempts);
    this->metrics.counter_for(stage_wasted_info, labels)
        .add(record.wasted_attempts);
    this->metrics.counter_for(stage_tokens_info, labels).add(record.tokens);
    this->metrics.counter_for(stage_time_info, labels)
        .add(microseconds_of(record.busy));
    auto& total = this->totals[pipeline.name.str()].stages[stage];
    ++total.runs;
    total.attempts += record.attempts;
    total.wasted_attempts += record.wasted_attempts;
    total.tokens += record.tokens;
    total.busy += record.busy;
}

auto run_costs::workspace_label(const core::workspace_name& workspace)
    -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    if (this->labelled.contains(workspace.str())) {
        return workspace.str();
    }
    if (this->labelled.size() >= max_workspace_labels) {
        return other_workspaces;
    }
    this->labelled.insert(workspace.str());
    return workspace.str();
}

auto run_costs::summary() const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    auto pipelines = nlohmann::json::array();
    for (const auto& [name, total] : this->totals) {
        auto stages = nlohmann::json::array();
        for (const auto& [stage, cost] : total.stages) {
            stages.push_back(
                {{"stage", stage},
                 {"runs", cost.runs},
                 {"attempts", cost.attempts},
                 {"wasted_attempts", cost.wasted_attempts},
                 {"tokens", cost.tokens},
                 {"busy_ms", double(microseconds_of(cost.busy)) / 1000.0}});
        }
        const auto share =
            total.runs == 0 ? 0.0 : double(total.in_time) / double(total.runs);
        pipelines.push_back({{"pipeline", name},
                             {"runs", total.runs},
                             {"complete", total.complete},
                             {"in_time", total.in_time},
                             {"attainment", share},
                             {"stages", stages}});
    }
    return nlohmann::json{{"top", {{"pipelines", pipelines}}}}.dump();
}

} // namespace almondtiller::services
