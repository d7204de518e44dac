#pragma once

#include "services/upstreams/attempt_runner.h"
#include "services/upstreams/connection_pool.h"
#include "services/upstreams/deadline_watch.h"

#include <set>

namespace almondtiller::services {

/// What came out of one call to an upstream.
struct call_outcome
{
    routing::attempt_end end = routing::attempt_end::failed;
    pipeline::upstream_answer answer; ///< With defect none on success.
    /// Whether the upstream may still work on the attempt.
    bool may_run_on = false;

    auto operator==(const call_outcome&) const -> bool = default;
};

/// Makes attempts over HTTP. Thread-safe; calls block until the deadline at
/// the latest.
class attempt_caller
{
public:
    explicit attempt_caller(const core::runtime_clock& clock);

    /// \param deadline When the call is ended.
    auto call(const std::string& address, const attempt_order& order,
              const attempt_hooks& hooks, core::time_point deadline)
        -> call_outcome;

    /// Tells an upstream to stop an attempt; answers are ignored.
    auto cancel(const std::string& address, const core::attempt_id& attempt)
        -> void;

    /// \return The body of GET /v1/load, or nothing.
    auto load(const std::string& address) -> std::optional<std::string>;

    /// Closes the kept-alive connections to all other addresses.
    auto retain(const std::set<std::string>& addresses) -> void;

    auto stop() -> void;

private:
    const core::runtime_clock& clock;
    connection_pool connections;
    deadline_watch watch;
};

} // namespace almondtiller::services
