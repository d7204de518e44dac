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
               this->known.upstreams().contains(core::upstream_id(key));
    });
    std::erase_if(this->flows, [](const auto& flow) { return flow.expired(); });
}

auto node::state::leave() -> void
{
    if (std::exchange(this->is_leaving, true)) {
        return;
    }
    this->leave_started = this->owner.now();
    this->log.write(severity::notice, "leaving", {});
    this->update_ready();
    this->mesh.leave();
    this->follower.withdraw(this->settings.node);
    this->leaver.start(leave_check);
}

auto node::state::go_on_leaving() -> void
{
    const auto elapsed = this->owner.now() - this->leave_started;
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
    if (elapsed > idle_while_leaving) {
        const auto open = this->connections;
        for (const auto& connection : open) {
            connection->close_if_idle();
        }
        if (this->flows.empty() && elapsed > stay_while_leaving) {
            this->finish_leaving();
            return;
        }
    }
    this->leaver.start(leave_check);
}

auto node::state::finish_leaving() -> void
{
    this->log.write(severity::notice, "stopped", {});
    this->listeners.clear();
    // Allows the last bytes written to reach the callers.
    constexpr auto linger = core::milliseconds(100);
    this->leaver.stop();
    this->ender.start(linger);
}

} // namespace almondtiller::gateway
