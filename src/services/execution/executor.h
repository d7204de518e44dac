#pragma once

#include "api/problem.h"
#include "api/run_request.h"

#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>

namespace almondtiller::services {

/// What an executor calls while it runs a request.
struct run_hooks
{
    /// Gets each token of a streamed request; \a text is a JSON string.
    std::function<void(std::uint64_t index, std::string_view text)> on_token;
    /// Whether the caller is gone; called from several threads.
    std::function<bool()> is_abandoned;
};

/// The whole answer of a completed request.
struct run_success
{
    core::request_id request;
    std::string answer; ///< JSON text.

    auto operator==(const run_success&) const -> bool = default;
};

using run_conclusion = std::variant<run_success, api::problem>;

/// Runs requests. Implemented by the service "execution". Calls block.
class executor
{
public:
    executor() = default;
    virtual ~executor() = default;
    executor(const executor&) = delete;
    auto operator=(const executor&) -> executor& = delete;

    /// \return Why the request cannot be run at all; no error otherwise.
    [[nodiscard]] virtual auto check(const api::run_request& request) const
        -> std::error_code = 0;

    /// Runs a request to its end, within its deadline.
    virtual auto run(const api::run_request& request, const run_hooks& hooks)
        -> run_conclusion = 0;
};

/// The name of the service that implements executor.
constexpr auto execution_service_name = "execution";

} // namespace almondtiller::services
