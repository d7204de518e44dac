#include "services/gateway/speed_log.h"
#include "services/gateway/stage_dispatcher.h"

#include <utility>

namespace almondtiller::gateway {

auto stage_dispatcher::enable_speeds() -> void
{
    if (std::exchange(this->uses_speeds, true)) {
        return;
    }
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        shard_state->queue.upstream_speeds().enable();
    }
}

auto stage_dispatcher::record_speed(const core::upstream_id& upstream,
                                    double percent) -> void
{
    const auto now = this->event_loop.now();
    const auto stated = to_statement(percent, now);
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        auto& speeds = shard_state->queue.upstream_speeds();
        speeds.state(upstream, stated, now);
        log_speed_changes(this->log, shard_key, speeds);
    }
}

} // namespace almondtiller::gateway
