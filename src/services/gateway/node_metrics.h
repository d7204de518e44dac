#pragma once

#include "core/metrics.h"
#include "dispatch/serving_state.h"
#include "services/gateway/event_log.h"
#include "serving/store_revision.h"
#include "upstream_speed/service_speeds.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::gateway {

/// Queued and running work at the owner of a service.
struct service_load
{
    serving::service_name service;
    std::size_t stage_pieces_waiting = 0;
    /// Estimated time until new stage work would start.
    core::duration stage_wait{0};
    std::size_t placements_waiting = 0;
    std::size_t requests_running = 0;
    /// Speeds of the upstreams; empty while none has stated one.
    std::optional<upstream_speed::speed_summary> speeds = std::nullopt;

    auto operator==(const service_load&) const -> bool = default;
};

/// State of a node's mirror of one kind of the store's objects.
struct store_view
{
    std::string_view kind;
    serving::store_revision revision;
    bool is_connected = false;
    std::uint64_t calls = 0;

    auto operator==(const store_view&) const -> bool = default;
};

/// Snapshot of a node's state for its metrics.
struct node_view
{
    bool is_ready = false;
    std::size_t requests_in_flight = 0;
    std::size_t peers_alive = 0;
    std::uint64_t upstream_connections = 0;
    std::uint64_t log_lines_dropped = 0;
    std::size_t quarantined_parts = 0;
    std::size_t quarantined_requests = 0;
    std::uint64_t upstream_crashes = 0;
    std::vector<service_load> services;
    std::vector<store_view> store;
};

/// Updates the metrics from a node's state; called before each exposition.
auto update_metrics(core::metrics_registry& registry, const node_view& view,
                    const dispatch::serving_state& serving_state) -> void;

} // namespace almondtiller::gateway
