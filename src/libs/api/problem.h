#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <string>
#include <system_error>
#include <vector>

namespace almondtiller::api {

/// How far a request that was not completed may have been executed.
enum class failed_outcome
{
    not_run, ///< No stage with a side effect was started.
    unknown, ///< A stage with a side effect may have run.
    partial, ///< A part of the stream was delivered.
};

[[nodiscard]] auto to_string(failed_outcome outcome) -> std::string;

/// The rejection or failure of a request, sent to the caller as a problem
/// document (RFC 9457).
struct problem
{
    std::error_code code;
    failed_outcome outcome = failed_outcome::not_run;
    core::request_id request;
    /// Delay after which the caller should retry; zero when it is unknown.
    core::duration retry_after{};
    /// Addresses of other nodes that the caller can use instead; set by a
    /// node that is leaving, otherwise empty.
    std::vector<std::string> endpoints;

    auto operator==(const problem&) const -> bool = default;
};

/// \return The HTTP status for the problem's error code.
[[nodiscard]] auto status_of(const problem& described) -> int;

/// \return The value of the Retry-After header in seconds, rounded up; 0
///         when the header is omitted.
[[nodiscard]] auto retry_after_seconds(const problem& described) -> long;

/// \return The problem document as JSON text.
[[nodiscard]] auto to_json(const problem& described) -> std::string;

/// Media type of the document that to_json(problem) returns.
constexpr auto problem_media_type = "application/problem+json";

} // namespace almondtiller::api
