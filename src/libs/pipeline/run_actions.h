#pragma once

#include "api/problem.h"
#include "api/run_answer.h"
#include "core/clock.h"
#include "core/ids.h"
#include "pipeline/upstream_answer.h"
#include "routing/attempt_request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace almondtiller::pipeline {

/// Durations that attempts at a stage's pool took lately; zero when unknown.
struct stage_estimate
{
    core::duration fast{};    ///< A low quantile.
    core::duration typical{}; ///< The median.
    core::duration slow{};    ///< A high quantile.

    auto operator==(const stage_estimate&) const -> bool = default;
};

/// Make this attempt, once; report it with pipeline_run::ended() or
/// pipeline_run::refused().
struct start_attempt
{
    core::attempt_id id;
    std::size_t stage = 0;
    routing::attempt_reason reason = routing::attempt_reason::first;
    /// How the attempt before it ended, for retries.
    std::optional<routing::attempt_end> cause;
    core::time_point not_before;
    /// Nothing may be dispatched from here on, and a running attempt is ended.
    core::time_point deadline;
    /// The longest time from the dispatch, if it is bounded.
    std::optional<core::duration> timeout;
    std::vector<core::upstream_id> excluded;
    bool stream = false;
    std::uint64_t resume_from = 0;

    auto operator==(const start_attempt&) const -> bool = default;
};

/// Give an attempt up, whether it waits or runs.
struct cancel_attempt
{
    core::attempt_id id;

    auto operator==(const cancel_attempt&) const -> bool = default;
};

/// The request has its answer.
struct complete_run
{
    std::string output;
    std::uint64_t tokens = 0;

    auto operator==(const complete_run&) const -> bool = default;
};

/// The request has failed for good.
struct fail_run
{
    std::error_code code;
    api::failed_outcome outcome = api::failed_outcome::not_run;
    core::duration retry_after{};

    auto operator==(const fail_run&) const -> bool = default;
};

using run_action =
    std::variant<start_attempt, cancel_attempt, complete_run, fail_run>;
using run_actions = std::vector<run_action>;

/// How an attempt ended.
struct attempt_report
{
    core::attempt_id id;
    core::upstream_id upstream;
    routing::attempt_end end = routing::attempt_end::succeeded;
    core::duration latency{}; ///< From dispatch to the end.
    upstream_answer answer;   ///< Of attempts that succeeded.

    auto operator==(const attempt_report&) const -> bool = default;
};

/// What a stage has cost one request.
struct stage_record
{
    core::upstream_id upstream; ///< Of the latest attempt.
    std::uint32_t attempts = 0;
    /// Attempts whose work did not become part of the answer.
    std::uint32_t wasted_attempts = 0;
    std::uint64_t tokens = 0;
    core::duration busy{};    ///< Upstream time, all attempts together.
    core::duration elapsed{}; ///< From the stage's start to its end.

    auto operator==(const stage_record&) const -> bool = default;
};

/// What becomes of a token.
enum class token_verdict
{
    deliver,
    drop, ///< It was delivered before or its attempt is not current.
};

} // namespace almondtiller::pipeline
