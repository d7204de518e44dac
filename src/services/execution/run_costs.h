#pragma once

#include "api/problem.h"
#include "core/metrics.h"
#include "pipeline/pipeline_run.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace almondtiller::services {

/// Counts outcomes, refusal and retry reasons, and what each stage costs.
/// Thread-safe.
class run_costs
{
public:
    explicit run_costs(core::metrics_registry& metrics);

    auto count_retry(routing::attempt_end cause) -> void;

    /// Counts a refusal or failure by its reason.
    auto count_problem(const api::problem& described) -> void;

    /// Counts a finished run.
    /// \param in_time Whether the answer was complete within the deadline.
    auto count_run(const pipeline::pipeline_run& run,
                   const core::workspace_name& workspace, bool complete,
                   bool in_time) -> void;

    /// \return A JSON object with attainment and cost by stage.
    [[nodiscard]] auto summary() const -> std::string;

private:
    /// Cost of one stage of one pipeline since the start.
    struct stage_total
    {
        std::uint64_t runs = 0;
        std::uint64_t attempts = 0;
        std::uint64_t wasted_attempts = 0;
        std::uint64_t tokens = 0;
        core::duration busy{};
    };

    struct pipeline_total
    {
        std::uint64_t runs = 0;
        std::uint64_t complete = 0;
        std::uint64_t in_time = 0;
        std::map<std::string, stage_total> stages;
    };

    [[nodiscard]] auto workspace_label(const core::workspace_name& workspace)
        -> std::string;
    auto count_stage(const pipeline::pipeline_run& run, std::size_t index,
                     const std::string& workspace) -> void;

    core::metrics_registry& metrics;
    mutable std::mutex mutex;
    std::set<std::string> labelled;
    std::map<std::string, pipeline_total> totals;
};

} // namespace almondtiller::services
