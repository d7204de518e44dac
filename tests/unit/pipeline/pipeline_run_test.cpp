#include "pipeline/pipeline_run.h"

#include "api/api_errc.h"
#include "routing/routing_errc.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::pipeline {

namespace {

using core::milliseconds;
using routing::attempt_end;
using settings::stage_kind;

const auto begin = core::time_point(std::chrono::hours(1));
const auto deadline = begin + milliseconds(1000);

auto make_stage(stage_kind kind, bool idempotent) -> settings::stage_settings
{
    auto stage = settings::stage_settings();
    stage.name = core::stage_name("s");
    stage.kind = kind;
    stage.idempotent = idempotent;
    stage.min_budget = milliseconds(10);
    return stage;
}

auto make_plan(const std::vector<settings::stage_settings>& stages,
               bool stream = false) -> run_plan
{
    auto plan = run_plan();
    plan.request = core::request_id("r");
    plan.pipeline.stages = stages;
    plan.deadline = deadline;
    plan.stream = stream;
    plan.input = "\"in\"";
    return plan;
}

auto report_of(const start_attempt& attempt, attempt_end end,
               const std::string& output = "\"out\"", std::uint64_t tokens = 0)
    -> attempt_report
{
    auto report = attempt_report();
    report.id = attempt.id;
    report.upstream = core::upstream_id("u");
    report.end = end;
    report.answer.output = output;
    report.answer.tokens = tokens;
    return report;
}

auto attempt_of(const run_actions& actions) -> start_attempt
{
    return std::get<start_attempt>(actions.at(0));
}

auto failure_of(const run_actions& actions) -> fail_run
{
    return std::get<fail_run>(actions.back());
}

} // namespace

TEST(pipeline_run, passes_results_from_stage_to_stage)
{
    auto run = pipeline_run(make_plan({make_stage(stage_kind::encode, true),
                                       make_stage(stage_kind::call, true)}),
                            1);
    auto attempt = attempt_of(run.start(begin));
    EXPECT_EQ(run.stage_input(), "\"in\"");
    EXPECT_EQ(attempt.deadline, deadline - milliseconds(10));
    attempt = attempt_of(
        run.ended(report_of(attempt, attempt_end::succeeded, "1"), begin));
    EXPECT_EQ(run.stage_input(), "1");
    EXPECT_EQ(attempt.stage, 1);
    const auto actions =
        run.ended(report_of(attempt, attempt_end::succeeded, "2", 5), begin);
    EXPECT_EQ(std::get<complete_run>(actions.at(0)), (complete_run{"2", 5}));
    EXPECT_TRUE(run.is_finished());
}

TEST(pipeline_run, rejects_a_request_that_cannot_meet_its_deadline)
{
    auto plan = make_plan({make_stage(stage_kind::encode, true),
                           make_stage(stage_kind::call, true)});
    plan.estimates = {
        {milliseconds(600), milliseconds(600), milliseconds(600)},
        {milliseconds(500), milliseconds(500), milliseconds(500)}};
    auto run = pipeline_run(plan, 1);
    const auto failure = failure_of(run.start(begin));
    EXPECT_EQ(failure.code, routing::routing_errc::deadline_unreachable);
    EXPECT_EQ(failure.outcome, api::failed_outcome::not_run);
    EXPECT_GT(failure.retry_after, core::duration::zero());
}

TEST(pipeline_run, resumes_a_broken_stream_after_the_last_token)
{
    auto run = pipeline_run(
        make_plan({make_stage(stage_kind::generate, true)}, true), 1);
    auto attempt = attempt_of(run.start(begin));
    EXPECT_TRUE(attempt.stream);
    EXPECT_EQ(run.token(attempt.id, 0), token_verdict::deliver);
    EXPECT_EQ(run.token(attempt.id, 0), token_verdict::drop);
    EXPECT_EQ(run.token(attempt.id, 1), token_verdict::deliver);
    const auto first = attempt.id;
    attempt =
        attempt_of(run.ended(report_of(attempt, attempt_end::failed), begin));
    EXPECT_EQ(attempt.resume_from, 2);
    EXPECT_EQ(attempt.cause, attempt_end::failed);
    EXPECT_EQ(run.token(first, 2), token_verdict::drop);
    EXPECT_EQ(run.token(attempt.id, 2), token_verdict::deliver);
    const auto actions = run.ended(
        report_of(attempt, attempt_end::succeeded, "\"all\"", 3), begin);
    EXPECT_EQ(std::get<complete_run>(actions.at(0)),
              (complete_run{"\"all\"", 3}));
}

TEST(pipeline_run, reports_a_partial_outcome_when_a_stream_cannot_be_resumed)
{
    auto stage = make_stage(stage_kind::generate, true);
    stage.max_attempts = 1;
    auto run = pipeline_run(make_plan({stage}, true), 1);
    const auto attempt = attempt_of(run.start(begin));
    run.token(attempt.id, 0);
    const auto failure =
        failure_of(run.ended(report_of(attempt, attempt_end::failed), begin));
    EXPECT_EQ(failure.code, api::api_errc::stream_broken);
    EXPECT_EQ(failure.outcome, api::failed_outcome::partial);
}

TEST(pipeline_run, retries_a_side_effect_only_if_it_was_not_started)
{
    auto run =
        pipeline_run(make_plan({make_stage(stage_kind::call, false)}), 1);
    auto attempt = attempt_of(run.start(begin));
    run.dispatched(attempt.id);
    attempt =
        attempt_of(run.ended(report_of(attempt, attempt_end::refused), begin));
    run.dispatched(attempt.id);
    attempt =
        attempt_of(run.ended(report_of(attempt, attempt_end::not_sent), begin));
    run.dispatched(attempt.id);
    const auto failure = failure_of(
        run.ended(report_of(attempt, attempt_end::timed_out), begin));
    EXPECT_EQ(failure.code, api::api_errc::outcome_unknown);
    EXPECT_EQ(failure.outcome, api::failed_outcome::unknown);
}

TEST(pipeline_run, completes_a_dispatched_side_effect_after_a_disconnect)
{
    auto run =
        pipeline_run(make_plan({make_stage(stage_kind::call, false)}), 1);
    const auto attempt = attempt_of(run.start(begin));
    run.dispatched(attempt.id);
    EXPECT_TRUE(run.abandon(begin).empty());
    const auto actions =
        run.ended(report_of(attempt, attempt_end::succeeded), begin);
    EXPECT_TRUE(std::holds_alternative<complete_run>(actions.at(0)));
}

TEST(pipeline_run, cancels_an_idempotent_attempt_on_a_disconnect)
{
    auto run = pipeline_run(make_plan({make_stage(stage_kind::call, true)}), 1);
    const auto attempt = attempt_of(run.start(begin));
    run.dispatched(attempt.id);
    const auto actions = run.abandon(begin);
    EXPECT_EQ(std::get<cancel_attempt>(actions.at(0)).id, attempt.id);
    EXPECT_EQ(failure_of(actions).code, api::api_errc::caller_gone);
}

/// For any sequence of attempt outcomes, the run ends once, within a bounded
/// number of attempts, reports the outcome correctly and never repeats a side
/// effect.
RC_GTEST_PROP(pipeline_run,
              reports_outcomes_correctly_and_runs_side_effects_once, ())
{
    auto stages = std::vector<settings::stage_settings>();
    const auto count = *rc::gen::inRange(1, 5);
    for (auto at = 0; at < count; ++at) {
        auto stage = make_stage(
            stage_kind::call,
            *rc::gen::weightedElement<bool>({{3, true}, {1, false}}));
        stage.max_attempts = *rc::gen::inRange<std::uint32_t>(1, 5);
        stages.push_back(stage);
    }
    auto run = pipeline_run(make_plan(stages), 7);
    auto now = begin;
    auto executions = std::vector<int>(stages.size());
    auto effects = 0;
    auto actions = run.start(now);
    auto steps = 0;
    while (!run.is_finished()) {
        RC_ASSERT(++steps < 30);
        const auto attempt = attempt_of(actions);
        const auto side_effect = !stages[attempt.stage].idempotent;
        now = std::max(now, attempt.not_before);
        if (*rc::gen::inRange(0, 12) == 0) {
            actions = run.refused(
                {attempt.id, routing::routing_errc::queue_full, {}}, now);
            continue;
        }
        run.dispatched(attempt.id);
        if (*rc::gen::inRange(0, 12) == 0) {
            actions = run.abandon(now);
            if (run.is_finished()) {
                continue;
            }
        }
        now += milliseconds(*rc::gen::inRange(0, 100));
        const auto end = attempt_end(*rc::gen::inRange(0, 7));
        if (!is_proven_not_started(end) && side_effect) {
            RC_ASSERT(++executions[attempt.stage] == 1);
            ++effects;
        }
        actions = run.ended(report_of(attempt, end), now);
    }
    const auto* failure = std::get_if<fail_run>(&actions.back());
    if (failure != nullptr &&
        failure->outcome == api::failed_outcome::not_run) {
        RC_ASSERT(effects == 0);
    }
    RC_ASSERT(run.ended(report_of({}, attempt_end::succeeded), now).empty());
    RC_ASSERT(run.abandon(now).empty());
}

} // namespace almondtiller::pipeline
