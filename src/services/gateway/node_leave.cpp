#include "services/gateway/node_state.h"

#include "platform/caller_messages.h"
#include "services/gateway/directory_choice.h"
#include "services/gateway/owner_choice.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto node::state::sweep() -> void
{
    this->pool.sweep([this](const std::string& key) {
        return key == "store" ||
               this->serving_state.upstreams().contains(core::upstream_id(key));
    });
    std::erase_if(this->flows, [](const auto& flow) { return flow.expired(); });
    this->crashes.expire();
    this->overload.check();
}

auto node::state::leave() -> void
{
    if (std::exchange(this->is_leaving, true)) {
        return;
    }
    this->leave_started = this->event_loop.now();
    this->log.write(severity::notice, "leaving", {});
    this->update_ready();
    this->mesh.leave();
    this->follower.withdraw();
    this->leave_timer.start(leave_check_interval);
}

auto node::state::continue_leaving() -> void
{
    const auto elapsed = this->event_loop.now() - this->leave_started;
    std::erase_if(this->flows, [](const auto& flow) { return flow.expired(); });
    if (elapsed > this->settings.grace - stop_margin) {
        for (const auto& flow : this->flows) {
            if (const auto open = flow.lock()) {
                open->stop();
            }
        }
        this->finish_leaving();
        return;
    }
    if (elapsed > idle_close_delay) {
        const auto open = this->connections;
        for (const auto& [connection, holder] : open) {
            connection->close_if_idle();
        }
        if (this->flows.empty() && elapsed > min_leave_time) {
            this->listeners.clear();
        }
        // A connection that remains is within a request that is being read, run
        // or answered.
        if (this->listeners.empty() && this->connections.empty()) {
            this->finish_leaving();
            return;
        }
    }
    this->leave_timer.start(leave_check_interval);
}

auto node::state::finish_leaving() -> void
{
    this->log.write(
        severity::notice, "stopped",
        {{"after_ms", ms_text(this->event_loop.now() - this->leave_started)},
         {"requests", std::to_string(this->flows.size())},
         {"connections", std::to_string(this->connections.size())}});
    this->listeners.clear();
    // Allows the last bytes written to reach the callers.
    constexpr auto linger = core::milliseconds(100);
    this->leave_timer.stop();
    this->stop_timer.start(linger);
}

} // namespace almondtiller::gateway
