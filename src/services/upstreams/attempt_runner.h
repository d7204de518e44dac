#pragma once

#include "pipeline/run_actions.h"
#include "routing/attempt_request.h"
#include "settings/effective.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondtiller::services {

/// One attempt of one stage, to be made at an upstream of a pool.
struct attempt_order
{
    core::pool_name pool;
    routing::attempt_request work;
    core::request_id request;
    settings::stage_settings stage;
    /// The longest time from the dispatch, if it is bounded.
    std::optional<core::duration> timeout;
    std::string input; ///< JSON text.
    std::string idempotency_key;
    bool stream = false;
    std::uint64_t resume_from = 0;

    auto operator==(const attempt_order&) const -> bool = default;
};

/// What the runner calls while it makes an attempt; on the runner's thread
/// unless said otherwise.
struct attempt_hooks
{
    /// Called directly before bytes may go out.
    std::function<void()> on_dispatch;
    /// Gets each token of a stream; \a text is a JSON string.
    std::function<void(std::uint64_t index, std::string_view text)> on_token;
    /// Whether the request was given up; called on other threads as well.
    std::function<bool()> is_abandoned;
};

/// An attempt was rejected before its dispatch, or it ended.
using attempt_conclusion =
    std::variant<routing::rejection, pipeline::attempt_report>;

/// Makes attempts. Implemented by the service "upstreams". Calls block.
class attempt_runner
{
public:
    attempt_runner() = default;
    virtual ~attempt_runner() = default;
    attempt_runner(const attempt_runner&) = delete;
    auto operator=(const attempt_runner&) -> attempt_runner& = delete;

    /// Waits for an upstream and makes the attempt there. Nothing is
    /// dispatched after the order's deadline. An attempt at a stage that is
    /// not idempotent is not given up once it is dispatched, except at its
    /// deadline.
    virtual auto run(const attempt_order& order, const attempt_hooks& hooks)
        -> attempt_conclusion = 0;

    /// \return The estimated durations of attempts in a pool.
    [[nodiscard]] virtual auto estimate(const core::pool_name& pool) const
        -> pipeline::stage_estimate = 0;
};

} // namespace almondtiller::services
