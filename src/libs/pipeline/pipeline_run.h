#pragma once

#include "core/random.h"
#include "pipeline/run_actions.h"
#include "settings/effective.h"

namespace almondtiller::pipeline {

/// What is to be executed, fixed at the start.
struct run_plan
{
    core::request_id request;
    settings::pipeline_settings pipeline;
    core::time_point deadline;
    /// One for each stage.
    std::vector<stage_estimate> estimates;
    bool stream = false;
    std::string input; ///< JSON text.

    auto operator==(const run_plan&) const -> bool = default;
};

/// Executes one request's stages in order, one attempt at a time. Attempts at
/// stages that are not idempotent are repeated only when it is proven that
/// they were not started. A broken stream goes on behind the last token that
/// was delivered. Ends with exactly one complete_run or fail_run.
class pipeline_run
{
public:
    /// \param seed Seeds the jitter of the backoff.
    pipeline_run(run_plan plan, std::uint64_t seed);

    auto start(core::time_point now) -> run_actions;

    /// The attempt will not be dispatched.
    auto refused(const routing::rejection& rejection, core::time_point now)
        -> run_actions;

    /// Bytes of the attempt may go out from now on.
    auto dispatched(const core::attempt_id& id) -> void;
    auto ended(const attempt_report& report, core::time_point now)
        -> run_actions;

    /// A token of a streaming attempt arrived.
    auto token(const core::attempt_id& id, std::uint64_t index)
        -> token_verdict;

    /// The caller is gone. A dispatched attempt of a stage that is not
    /// idempotent still runs to its end, so that its result is recorded.
    auto abandon(core::time_point now) -> run_actions;

    [[nodiscard]] auto is_finished() const -> bool;

    /// \return The JSON text that goes into the current stage.
    [[nodiscard]] auto stage_input() const -> const std::string&;

    /// \return One record for each stage.
    [[nodiscard]] auto records() const -> const std::vector<stage_record>&;
    [[nodiscard]] auto plan() const -> const run_plan&;

private:
    [[nodiscard]] auto stage() const -> const settings::stage_settings&;
    [[nodiscard]] auto need(std::size_t index) const -> core::duration;
    [[nodiscard]] auto least_need(std::size_t first) const -> core::duration;
    [[nodiscard]] auto stage_deadline(core::time_point now) const
        -> core::time_point;
    [[nodiscard]] auto is_streamed() const -> bool;
    [[nodiscard]] auto failed_outcome() const -> api::failed_outcome;
    auto begin_stage(core::time_point now) -> run_actions;
    auto make_attempt(routing::attempt_reason reason, core::time_point now)
        -> start_attempt;
    auto accept_answer(const attempt_report& report, core::time_point now)
        -> run_actions;
    auto retry(const attempt_report& report, core::time_point now)
        -> run_actions;
    auto fail(std::error_code code, core::duration retry_after) -> run_actions;
    auto finish_stage(core::time_point now) -> void;

    run_plan planned;
    core::random_source random;
    std::vector<stage_record> stage_records;
    std::size_t stage_index = 0;
    std::string input;
    core::time_point stage_start;
    core::attempt_id current; ///< Empty when no attempt is under way.
    bool current_dispatched = false;
    std::vector<core::upstream_id> tried;
    std::uint64_t delivered = 0;
    /// Whether a stage with a side effect may have run.
    bool effect_possible = false;
    bool abandoned = false;
    bool finished = false;
};

/// \return Whether an attempt that ended so is proven not to have started.
[[nodiscard]] auto is_proven_not_started(routing::attempt_end end) -> bool;

[[nodiscard]] auto to_string(routing::attempt_end end) -> std::string;

} // namespace almondtiller::pipeline
