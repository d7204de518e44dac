#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondtiller::api {

/// The longest idempotency key that is accepted.
constexpr auto max_idempotency_key_bytes = std::size_t(256);

/// How urgent a request is.
enum class request_priority : std::int8_t
{
    batch = -1,
    normal = 0,
    interactive = 1,
};

/// A caller's wish to run a pipeline, as it came over the wire.
struct run_request
{
    core::workspace_name workspace;
    core::pipeline_name pipeline;
    /// Time left at arrival; the pipeline's default when absent.
    std::optional<core::milliseconds> deadline;
    request_priority priority = request_priority::normal;
    std::string idempotency_key; ///< Empty when the caller gave none.
    bool stream = false;
    std::string input; ///< JSON text; null when absent.

    auto operator==(const run_request&) const -> bool = default;
};

/// Reads the body of POST /v1/run. Unknown members are ignored.
/// \return An api_errc for a body that is not accepted.
[[nodiscard]] auto parse_run_request(std::string_view body)
    -> core::result<run_request>;

} // namespace almondtiller::api
