#pragma once

/// Entry header of the gateway: a node on the users' platform. It answers
/// callers, asks which node owns a service, dispatches for the services that
/// it owns, and follows the platform's store. One loop, one thread.

#include "core/metrics.h"
#include "event/loop.h"
#include "serving/node_settings.h"

#include <functional>
#include <memory>
#include <system_error>

namespace almondtiller::gateway {

class event_log;

/// A node as a whole.
class node
{
public:
    /// \param on_stopped Called when a leaving node may end its process.
    node(event::loop& owner, serving::node_settings settings, event_log& log,
         core::metrics_registry& metrics, std::function<void()> on_stopped);
    ~node();
    node(const node&) = delete;
    auto operator=(const node&) -> node& = delete;

    /// Opens the listeners and begins to follow the store.
    auto start() -> std::error_code;

    /// Leaves: no longer ready, requests under way end as they would have.
    auto leave() -> void;

    /// The settings file may have changed.
    auto reload(const serving::node_settings& settings) -> void;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::gateway
