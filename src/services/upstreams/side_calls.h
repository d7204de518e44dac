#pragma once

#include "core/periodic_task.h"
#include "platform/object_store.h"
#include "routing/attempt_request.h"
#include "services/upstreams/attempt_call.h"

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace almondtiller::services {

/// Sends cancellations on a thread of its own; drops them when too many wait.
/// Thread-safe.
class cancel_sender
{
public:
    cancel_sender(const core::runtime_clock& clock, attempt_caller& caller);

    /// \return False when the cancellation was dropped.
    auto submit(const std::string& address, const core::attempt_id& attempt)
        -> bool;
    auto stop() -> void;

private:
    struct cancellation
    {
        std::string address;
        core::attempt_id attempt;
    };

    auto send_all() -> core::duration;

    attempt_caller& caller;
    std::mutex mutex;
    std::deque<cancellation> queue;
    core::periodic_task sender;
};

/// Asks upstreams for their load, one after the other, at a bounded rate.
class load_poller
{
public:
    using instance_source = std::function<std::vector<platform::instance>()>;
    using report_handler = std::function<void(const platform::instance&,
                                              const routing::load_report&)>;

    load_poller(const core::runtime_clock& clock, attempt_caller& caller,
                instance_source instances, report_handler handle);
    auto stop() -> void;

private:
    auto poll_next() -> core::duration;

    attempt_caller& caller;
    instance_source instances;
    report_handler handle;
    std::size_t position = 0;
    core::periodic_task poller;
};

/// Reads the answer to GET /v1/load.
/// \return Nothing for a body that is not a load report.
[[nodiscard]] auto parse_load(const core::upstream_id& id,
                              std::string_view body)
    -> std::optional<routing::load_report>;

} // namespace almondtiller::services
