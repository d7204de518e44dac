#include "pipeline/pipeline_run.h"

#include "api/api_errc.h"
#include "routing/backoff.h"
#include "routing/routing_errc.h"

#include <algorithm>
#include <utility>

namespace almondtiller::pipeline {

namespace {

using routing::attempt_end;
using routing::attempt_reason;

constexpr auto default_retry_after = core::milliseconds(250);
/// The timeout of an attempt that may be retried, as a multiple of the slow
/// estimate.
constexpr auto timeout_factor = 4;
constexpr auto min_timeout = core::milliseconds(50);

} // namespace

auto is_proven_not_started(attempt_end end) -> bool
{
    return end == attempt_end::refused || end == attempt_end::not_sent;
}

auto to_string(attempt_end end) -> std::string
{
    switch (end) {
    case attempt_end::succeeded:
        return "succeeded";
    case attempt_end::failed:
        return "failed";
    case attempt_end::refused:
        return "refused";
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::timed_out:
        return "timed_out";
    case attempt_end::cancelled:
        return "cancelled";
    case attempt_end::mismatched:
        return "mismatched";
    }
    return "failed";
}

pipeline_run::pipeline_run(run_plan plan, std::uint64_t seed)
    : planned(std::move(plan)),
      random(seed),
      stage_records(this->planned.pipeline.stages.size()),
      input(this->planned.input)
{
    this->planned.estimates.resize(this->planned.pipeline.stages.size());
}

auto pipeline_run::start(core::time_point now) -> run_actions
{
    if (now >= this->planned.deadline) {
        return this->fail(api::api_errc::deadline_exceeded, {});
    }
    if (now + this->minimum_time(0) > this->planned.deadline) {
        return this->fail(routing::routing_errc::deadline_unreachable,
                          default_retry_after);
    }
    return this->begin_stage(now);
}

auto pipeline_run::begin_stage(core::time_point now) -> run_actions
{
    if (this->stage_index == this->planned.pipeline.stages.size()) {
        this->finished = true;
        return {complete_run{this->input, this->delivered_tokens}};
    }
    this->stage_start = now;
    this->tried_upstreams.clear();
    if (now + this->minimum_time(this->stage_index) > this->planned.deadline) {
        return this->fail(routing::routing_errc::deadline_unreachable,
                          default_retry_after);
    }
    return {this->make_attempt(attempt_reason::first, now)};
}

auto pipeline_run::make_attempt(attempt_reason reason, core::time_point now)
    -> start_attempt
{
    auto& record = this->stage_records[this->stage_index];
    ++record.attempts;
    this->current = core::attempt_id(this->planned.request.str() + "-" +
                                     std::to_string(this->stage_index) + "-" +
                                     std::to_string(record.attempts));
    this->current_dispatched = false;
    auto attempt = start_attempt();
    attempt.id = this->current;
    attempt.stage = this->stage_index;
    attempt.reason = reason;
    attempt.not_before = now;
    attempt.deadline = this->stage_deadline(now);
    attempt.excluded = this->tried_upstreams;
    attempt.stream = this->is_streamed();
    attempt.resume_from = attempt.stream ? this->delivered_tokens : 0;
    const auto slow = this->planned.estimates[this->stage_index].slow;
    const auto may_retry = this->stage().idempotent && !attempt.stream &&
                           record.attempts < this->stage().max_attempts;
    if (may_retry) {
        attempt.timeout =
            slow > core::duration::zero()
                ? std::max<core::duration>(timeout_factor * slow, min_timeout)
                : (attempt.deadline - now) / 2;
    }
    return attempt;
}

auto pipeline_run::refused(const routing::rejection& rejection,
                           core::time_point now) -> run_actions
{
    if (this->finished || rejection.id != this->current) {
        return {};
    }
    this->finish_stage(now);
    if (this->abandoned) {
        return this->fail(api::api_errc::caller_gone, {});
    }
    return this->fail(rejection.reason, rejection.retry_after);
}

auto pipeline_run::dispatched(const core::attempt_id& id) -> void
{
    if (id == this->current) {
        this->current_dispatched = true;
    }
}

auto pipeline_run::ended(const attempt_report& report, core::time_point now)
    -> run_actions
{
    if (this->finished || report.id != this->current) {
        return {};
    }
    auto& record = this->stage_records[this->stage_index];
    record.upstream = report.upstream;
    record.busy += report.latency;
    this->current = core::attempt_id();
    this->tried_upstreams.push_back(report.upstream);
    const auto not_started = is_proven_not_started(report.end);
    if (!this->stage().idempotent && !not_started) {
        this->side_effect_possible = true;
    }
    if (report.end == attempt_end::succeeded) {
        return this->accept_answer(report, now);
    }
    ++record.wasted_attempts;
    if (!this->stage().idempotent && !not_started) {
        this->finish_stage(now);
        return this->fail(api::api_errc::outcome_unknown, {});
    }
    return this->retry(report, now);
}

auto pipeline_run::accept_answer(const attempt_report& report,
                                 core::time_point now) -> run_actions
{
    auto& record = this->stage_records[this->stage_index];
    if (this->is_streamed() && report.answer.tokens != this->delivered_tokens) {
        ++record.wasted_attempts;
        auto broken = report;
        broken.end = attempt_end::failed;
        return this->retry(broken, now);
    }
    record.tokens = report.answer.tokens;
    this->finish_stage(now);
    this->input = report.answer.output;
    ++this->stage_index;
    if (this->stage_index == this->planned.pipeline.stages.size()) {
        this->finished = true;
        return {complete_run{this->input, report.answer.tokens}};
    }
    if (this->abandoned) {
        return this->fail(api::api_errc::caller_gone, {});
    }
    return this->begin_stage(now);
}

auto pipeline_run::retry(const attempt_report& report, core::time_point now)
    -> run_actions
{
    const auto& record = this->stage_records[this->stage_index];
    const auto delay = routing::retry_delay(
        {}, record.attempts - 1, this->planned.deadline - now,
        this->minimum_time(this->stage_index), this->random);
    if (!this->abandoned && delay &&
        record.attempts < this->stage().max_attempts) {
        auto attempt = this->make_attempt(attempt_reason::retry, now + *delay);
        attempt.cause = report.end;
        return {attempt};
    }
    this->finish_stage(now);
    if (this->abandoned) {
        return this->fail(api::api_errc::caller_gone, {});
    }
    if (!delay || report.end == attempt_end::timed_out) {
        return this->fail(api::api_errc::deadline_exceeded,
                          default_retry_after);
    }
    return this->fail(this->delivered_tokens > 0
                          ? api::api_errc::stream_broken
                          : api::api_errc::upstream_failed,
                      default_retry_after);
}

auto pipeline_run::token(const core::attempt_id& id, std::uint64_t index)
    -> token_verdict
{
    if (this->finished || id != this->current ||
        index != this->delivered_tokens) {
        return token_verdict::drop;
    }
    ++this->delivered_tokens;
    return token_verdict::deliver;
}

auto pipeline_run::abandon(core::time_point now) -> run_actions
{
    if (this->finished || this->abandoned) {
        return {};
    }
    this->abandoned = true;
    if (this->current.empty() ||
        (this->current_dispatched && !this->stage().idempotent)) {
        return {};
    }
    auto actions = run_actions{cancel_attempt{this->current}};
    this->finish_stage(now);
    const auto failure = this->fail(api::api_errc::caller_gone, {});
    actions.insert(actions.end(), failure.begin(), failure.end());
    return actions;
}

auto pipeline_run::is_finished() const -> bool
{
    return this->finished;
}

auto pipeline_run::stage_input() const -> const std::string&
{
    return this->input;
}

auto pipeline_run::records() const -> const std::vector<stage_record>&
{
    return this->stage_records;
}

auto pipeline_run::plan() const -> const run_plan&
{
    return this->planned;
}

auto pipeline_run::stage() const -> const settings::stage_settings&
{
    return this->planned.pipeline.stages[this->stage_index];
}

auto pipeline_run::typical_time(std::size_t index) const -> core::duration
{
    const auto& settings = this->planned.pipeline.stages[index];
    return std::max<core::duration>(settings.min_budget,
                                    this->planned.estimates[index].typical);
}

/// \return The minimum time that the stages from \a first on need.
auto pipeline_run::minimum_time(std::size_t first) const -> core::duration
{
    auto sum = core::duration::zero();
    for (auto at = first; at < this->planned.pipeline.stages.size(); ++at) {
        const auto& settings = this->planned.pipeline.stages[at];
        sum += std::max<core::duration>(settings.min_budget,
                                        this->planned.estimates[at].fast);
    }
    return sum;
}

/// Reserves the typical time of the later stages, or their minimum time if the
/// remaining budget is too small for that.
auto pipeline_run::stage_deadline(core::time_point now) const
    -> core::time_point
{
    auto later = core::duration::zero();
    const auto stages = this->planned.pipeline.stages.size();
    for (auto at = this->stage_index + 1; at < stages; ++at) {
        later += this->typical_time(at);
    }
    if (now + this->typical_time(this->stage_index) + later >
        this->planned.deadline) {
        later = this->minimum_time(this->stage_index + 1);
    }
    return this->planned.deadline - later;
}

auto pipeline_run::is_streamed() const -> bool
{
    const auto is_last =
        this->stage_index + 1 == this->planned.pipeline.stages.size();
    return this->planned.stream && is_last &&
           this->stage().kind == settings::stage_kind::generate;
}

auto pipeline_run::failed_outcome() const -> api::failed_outcome
{
    if (this->delivered_tokens > 0) {
        return api::failed_outcome::partial;
    }
    return this->side_effect_possible ? api::failed_outcome::unknown
                                      : api::failed_outcome::not_run;
}

auto pipeline_run::fail(std::error_code code, core::duration retry_after)
    -> run_actions
{
    this->finished = true;
    this->current = core::attempt_id();
    return {fail_run{code, this->failed_outcome(), retry_after}};
}

auto pipeline_run::finish_stage(core::time_point now) -> void
{
    this->stage_records[this->stage_index].elapsed = now - this->stage_start;
}

} // namespace almondtiller::pipeline
