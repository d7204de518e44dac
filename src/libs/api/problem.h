#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <string>
#include <system_error>
#include <vector>

namespace almondtiller::api {

/// What a caller may conclude from a request that was not completed.
enum class failed_outcome
{
    not_run, ///< No stage with a side effect was started.
    unknown, ///< A stage with a side effect may have run.
    partial, ///< A part of the stream was delivered.
};

[[nodiscard]] auto to_string(failed_outcome outcome) -> std::string;

/// A refusal or failure as the caller sees it: a problem document (RFC 9457).
struct problem
{
    std::error_code code;
    failed_outcome outcome = failed_outcome::not_run;
    core::request_id request;
    /// When a new request is worth making; zero when that is not known.
    core::duration retry_after{};
    /// Other addresses to use; from a leaving node.
    std::vector<std::string> endpoints;

    auto operator==(const problem&) const -> bool = default;
};

/// \return The HTTP status that fits the problem's code.
[[nodiscard]] auto status_of(const problem& described) -> int;

/// \return The value of Retry-After in whole seconds; 0 for no header.
[[nodiscard]] auto retry_after_seconds(const problem& described) -> long;

/// \return The document as JSON text.
[[nodiscard]] auto to_json(const problem& described) -> std::string;

/// The media type of to_json(problem).
constexpr auto problem_media_type = "application/problem+json";

} // namespace almondtiller::api
