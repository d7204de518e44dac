#include "dispatch/stage_limits.h"
#include "dispatch/stage_queue.h"

namespace almondtiller::dispatch {

auto stage_queue::enable_room_reports() -> void
{
    this->uses_room_reports = true;
}

auto stage_queue::used_room(upstream_state& upstream, core::time_point now)
    -> std::uint64_t
{
    auto used = std::uint64_t(0);
    std::erase_if(upstream.results, [this, now](const auto& item) {
        const auto is_expired = item.second.expires <= now;
        if (is_expired) {
            this->result_holders.erase(item.first);
        }
        return is_expired;
    });
    for (const auto& [handle, held] : upstream.results) {
        used += held.bytes;
    }
    return used;
}

auto stage_queue::unknown_room(const upstream_state& upstream,
                               core::time_point now) const -> std::uint64_t
{
    return upstream.room.unknown_bytes(as_duration(this->pool.result_life),
                                       now);
}

auto stage_queue::available_room(upstream_state& upstream, core::time_point now)
    -> std::uint64_t
{
    auto used = this->used_room(upstream, now);
    if (this->uses_room_reports) {
        upstream.room.record_known(used, now);
        if (upstream.room.is_full(now)) {
            return 0;
        }
        used += this->unknown_room(upstream, now);
    }
    return used < this->pool.room_bytes ? this->pool.room_bytes - used : 0;
}

auto stage_queue::room_requests(core::time_point now)
    -> std::vector<stage_upstream>
{
    auto requests = std::vector<stage_upstream>();
    if (!this->uses_room_reports || this->pool.room_bytes == 0) {
        return requests;
    }
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.room.wants_report(now) && upstream.blocked_until <= now &&
            upstream.pacer.allows(now)) {
            upstream.room.on_requested(now);
            upstream.pacer.record(now);
            requests.push_back(upstream.upstream);
        }
    }
    return requests;
}

auto stage_queue::on_room_reported(const core::upstream_id& id,
                                   std::uint64_t free_bytes,
                                   core::time_point now) -> std::uint64_t
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return 0;
    }
    auto& upstream = found->second;
    upstream.room.record_known(this->used_room(upstream, now), now);
    upstream.room.on_report(this->pool.room_bytes > free_bytes
                                ? this->pool.room_bytes - free_bytes
                                : 0,
                            now);
    return this->unknown_room(upstream, now);
}

} // namespace almondtiller::dispatch
