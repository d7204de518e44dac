#pragma once

#include "core/random.h"
#include "pipeline/run_actions.h"
#include "settings/effective.h"

namespace almondtiller::pipeline {

/// The request to execute; does not change during the run.
struct run_plan
{
    core::request_id request;
    settings::pipeline_settings pipeline;
    core::time_point deadline;
    /// One per stage; missing ones count as unknown.
    std::vector<stage_estimate> estimates;
    bool stream = false;
    std::string input; ///< JSON text.

    auto operator==(const run_plan&) const -> bool = default;
};

/// Executes one request's stages in order, one attempt at a time. An attempt at
/// a stage that is not idempotent is retried only if it provably did not start.
/// A broken stream is resumed after the last delivered token. A run ends with
/// exactly one complete_run or fail_run.
class pipeline_run
{
public:
    /// \param seed Seeds the jitter of the backoff.
    pipeline_run(run_plan plan, std::uint64_t seed);

    auto start(core::time_point now) -> run_actions;

    /// The scheduler rejected the attempt, which is not dispatched.
    auto refused(const routing::rejection& rejection, core::time_point now)
        -> run_actions;

    /// The attempt was dispatched; from now on it may have been sent.
    auto dispatched(const core::attempt_id& id) -> void;
    auto ended(const attempt_report& report, core::time_point now)
        -> run_actions;

    /// Handles a token of a streaming attempt.
    /// \param index Position of the token in the request's whole output.
    auto token(const core::attempt_id& id, std::uint64_t index)
        -> token_verdict;

    /// The caller disconnected. A dispatched attempt at a stage that is not
    /// idempotent still runs to its end, so that its result is recorded.
    auto abandon(core::time_point now) -> run_actions;

    [[nodiscard]] auto is_finished() const -> bool;

    /// \return The input of the current stage as JSON text.
    [[nodiscard]] auto stage_input() const -> const std::string&;

    /// \return One record per stage.
    [[nodiscard]] auto records() const -> const std::vector<stage_record>&;
    [[nodiscard]] auto plan() const -> const run_plan&;

private:
    [[nodiscard]] auto stage() const -> const settings::stage_settings&;
    [[nodiscard]] auto typical_time(std::size_t index) const -> core::duration;
    [[nodiscard]] auto minimum_time(std::size_t first) const -> core::duration;
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
    core::attempt_id current; ///< Empty when no attempt is in progress.
    bool current_dispatched = false;
    std::vector<core::upstream_id> tried_upstreams;
    std::uint64_t delivered_tokens = 0;
    /// Whether a stage with a side effect may have run.
    bool side_effect_possible = false;
    bool abandoned = false;
    bool finished = false;
};

/// \return Whether \a end proves that the upstream did not start the attempt.
[[nodiscard]] auto is_proven_not_started(routing::attempt_end end) -> bool;

[[nodiscard]] auto to_string(routing::attempt_end end) -> std::string;

} // namespace almondtiller::pipeline
