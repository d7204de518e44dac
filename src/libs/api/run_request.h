#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::api {

/// Maximum length of an idempotency key.
constexpr auto max_idempotency_key_bytes = std::size_t(256);

/// Scheduling priority of a request.
enum class request_priority : std::int8_t
{
    batch = -1,
    normal = 0,
    interactive = 1,
};

/// A caller's request to run a pipeline, as received.
struct run_request
{
    core::workspace_name workspace;
    core::pipeline_name pipeline;
    /// Time budget counted from the arrival of the request; the pipeline's
    /// default deadline applies when it is absent.
    std::optional<core::milliseconds> deadline;
    request_priority priority = request_priority::normal;
    std::string idempotency_key; ///< Empty when the caller sent none.
    bool stream = false;
    std::string input; ///< JSON text; "null" when the body has no input.

    auto operator==(const run_request&) const -> bool = default;
};

/// Parses the body of POST /v1/run. Unknown members are ignored.
/// \return An api_errc when the body is invalid.
[[nodiscard]] auto parse_run_request(std::string_view body)
    -> core::result<run_request>;

} // namespace almondtiller::api
