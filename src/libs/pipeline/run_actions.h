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

/// Durations of recent attempts at a stage's pool; zero when unknown.
struct stage_estimate
{
    core::duration fast{};    ///< A low quantile.
    core::duration typical{}; ///< The median.
    core::duration slow{};    ///< A high quantile.

    auto operator==(const stage_estimate&) const -> bool = default;
};

/// Requests one attempt. The outcome is reported with pipeline_run::ended() or
/// pipeline_run::refused().
struct start_attempt
{
    core::attempt_id id;
    std::size_t stage = 0;
    routing::attempt_reason reason = routing::attempt_reason::first;
    /// How the previous attempt ended; set for retries only.
    std::optional<routing::attempt_end> cause;
    /// Earliest time of the dispatch, after the retry backoff.
    core::time_point not_before;
    /// From then on the attempt is not dispatched, and a running one is
    /// cancelled.
    core::time_point deadline;
    /// Timeout from the dispatch; empty if only the deadline applies.
    std::optional<core::duration> timeout;
    /// Upstreams that earlier attempts at this stage used.
    std::vector<core::upstream_id> excluded;
    bool stream = false;
    /// Index of the first token to send.
    std::uint64_t resume_from = 0;

    auto operator==(const start_attempt&) const -> bool = default;
};

/// Requests that an attempt is cancelled, whether it is queued or running.
struct cancel_attempt
{
    core::attempt_id id;

    auto operator==(const cancel_attempt&) const -> bool = default;
};

/// The run completed with this answer.
struct complete_run
{
    std::string output;
    std::uint64_t tokens = 0;

    auto operator==(const complete_run&) const -> bool = default;
};

/// The run failed permanently.
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
    core::duration latency{}; ///< From the dispatch to the end.
    upstream_answer answer;   ///< Set for attempts that succeeded.

    auto operator==(const attempt_report&) const -> bool = default;
};

/// Usage of one stage by one request.
struct stage_record
{
    core::upstream_id upstream; ///< The upstream of the latest attempt.
    std::uint32_t attempts = 0;
    /// Attempts whose results are not part of the answer.
    std::uint32_t wasted_attempts = 0;
    std::uint64_t tokens = 0;
    core::duration busy{};    ///< Upstream time of all attempts.
    core::duration elapsed{}; ///< From the stage's start to its end.

    auto operator==(const stage_record&) const -> bool = default;
};

/// Whether a token is delivered to the caller.
enum class token_verdict
{
    deliver,
    drop, ///< Duplicate, out of order or from an attempt that is not current.
};

} // namespace almondtiller::pipeline
