#pragma once

/// Entry header of the gateway, a node on the users' platform. A node serves
/// callers' requests, determines which node owns a service, dispatches for the
/// services that it owns, and follows the platform's store. It runs on one
/// thread with one event loop.

#include "core/metrics.h"
#include "event/loop.h"
#include "serving/node_settings.h"

#include <functional>
#include <memory>
#include <system_error>

namespace almondtiller::gateway {

class event_log;

/// A gateway node with its listeners, its peer mesh and its store follower.
class node
{
public:
    /// \param on_stopped Called when the node has finished leaving and its
    ///        process may exit.
    node(event::loop& event_loop, serving::node_settings settings,
         event_log& log, core::metrics_registry& metrics,
         std::function<void()> on_stopped);
    ~node();
    node(const node&) = delete;
    auto operator=(const node&) -> node& = delete;

    /// Opens the listeners and starts to follow the store.
    /// \return The error of the first listener that cannot be opened; the
    ///         metrics listener is optional.
    auto start() -> std::error_code;

    /// Starts a graceful shutdown: the node reports that it is not ready, and
    /// requests in flight run to their end within the grace period.
    auto leave() -> void;

    /// Applies those settings that may change while the process runs.
    auto reload(const serving::node_settings& settings) -> void;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::gateway
