#include "services/gateway/node_metrics.h"

#include <map>

namespace almondtiller::gateway {

namespace {

using core::metric_kind;

constexpr auto ready_info =
    core::metric_info{"almondtiller_gateway_ready", metric_kind::gauge,
                      "1 while the node takes requests, else 0."};
constexpr auto in_flight_info = core::metric_info{
    "almondtiller_gateway_requests_in_flight", metric_kind::gauge,
    "Requests of callers that have not ended."};
constexpr auto peers_info =
    core::metric_info{"almondtiller_gateway_peers_alive", metric_kind::gauge,
                      "Other nodes that this node hears."};
constexpr auto configuration_info = core::metric_info{
    "almondtiller_gateway_configuration_version", metric_kind::gauge,
    "Version of the configuration in force, 0 before the first."};
constexpr auto upstreams_info = core::metric_info{
    "almondtiller_gateway_usable_upstreams", metric_kind::gauge,
    "Upstreams that may get new work, by service."};
constexpr auto limited_info = core::metric_info{
    "almondtiller_gateway_limited_upstreams", metric_kind::gauge,
    "Upstreams that state a limit on their rate of requests, by service."};
constexpr auto quarantined_info = core::metric_info{
    "almondtiller_gateway_quarantined_prompt_parts", metric_kind::gauge,
    "Prompt parts whose requests are rejected because they crash upstreams."};
constexpr auto quarantined_requests_info = core::metric_info{
    "almondtiller_gateway_quarantined_requests", metric_kind::gauge,
    "Requests whose repeats are rejected because they crash upstreams."};
constexpr auto crashes_info = core::metric_info{
    "almondtiller_gateway_upstream_crashes_total", metric_kind::counter,
    "Crashes of upstreams before they began to answer a request of this node."};
constexpr auto connections_info = core::metric_info{
    "almondtiller_gateway_connections_opened_total", metric_kind::counter,
    "Connections that were opened to upstreams and the store."};
constexpr auto dropped_info = core::metric_info{
    "almondtiller_gateway_log_lines_dropped_total", metric_kind::counter,
    "Log lines that found the buffer full or were over their rate."};
constexpr auto pieces_info = core::metric_info{
    "almondtiller_gateway_stage_pieces_waiting", metric_kind::gauge,
    "Pieces of stage work that wait, by service that this node owns."};
constexpr auto wait_info = core::metric_info{
    "almondtiller_gateway_stage_wait_seconds", metric_kind::gauge,
    "Seconds until new stage work would begin, by service."};
constexpr auto waiting_info = core::metric_info{
    "almondtiller_gateway_placements_waiting", metric_kind::gauge,
    "Requests that wait for an upstream, by service that this node owns."};
constexpr auto running_info = core::metric_info{
    "almondtiller_gateway_requests_placed", metric_kind::gauge,
    "Requests of all nodes that wait or run, by service."};
constexpr auto slowest_info = core::metric_info{
    "almondtiller_gateway_upstream_slowdown_max", metric_kind::gauge,
    "Expected time of work at the slowest upstream as a multiple of the usual "
    "time, by service that this node owns."};
constexpr auto median_speed_info = core::metric_info{
    "almondtiller_gateway_upstream_slowdown_median", metric_kind::gauge,
    "Expected time of work at the median upstream as a multiple of the usual "
    "time, by service that this node owns."};
constexpr auto store_connected_info = core::metric_info{
    "almondtiller_gateway_store_connected", metric_kind::gauge,
    "1 while the store answers for that kind of object, else 0."};
constexpr auto store_revision_info = core::metric_info{
    "almondtiller_gateway_store_revision", metric_kind::gauge,
    "The store's revision that this node has, by kind of object."};
constexpr auto store_calls_info = core::metric_info{
    "almondtiller_gateway_store_calls_total", metric_kind::counter,
    "Lists and watches asked of the store, by kind of object."};

auto raise_to(core::counter& counter, std::uint64_t value) -> void
{
    const auto before = counter.value();
    if (value > before) {
        counter.add(value - before);
    }
}

auto update_services(core::metrics_registry& registry, const node_view& view)
    -> void
{
    for (const auto& load : view.services) {
        const auto labels =
            core::metric_labels{{"service", load.service.str()}};
        registry.gauge_for(pieces_info, labels)
            .set(double(load.stage_pieces_waiting));
        registry.gauge_for(wait_info, labels)
            .set(std::chrono::duration<double>(load.stage_wait).count());
        registry.gauge_for(waiting_info, labels)
            .set(double(load.placements_waiting));
        registry.gauge_for(running_info, labels)
            .set(double(load.requests_running));
        if (load.speeds) {
            registry.gauge_for(slowest_info, labels).set(load.speeds->slowest);
            registry.gauge_for(median_speed_info, labels)
                .set(load.speeds->median);
        }
    }
}

auto update_upstreams(core::metrics_registry& registry,
                      const dispatch::serving_state& serving_state) -> void
{
    auto counts = std::map<serving::service_name, std::size_t>();
    auto limited = std::map<serving::service_name, std::size_t>();
    for (const auto& [id, upstream] : serving_state.upstreams()) {
        counts[upstream.upstream.service] +=
            serving_state.is_usable(id) ? 1 : 0;
        limited[upstream.upstream.service] +=
            serving_state.limits().contains(id) ? 1 : 0;
    }
    for (const auto& [service, count] : counts) {
        registry.gauge_for(upstreams_info, {{"service", service.str()}})
            .set(double(count));
    }
    for (const auto& [service, count] : limited) {
        registry.gauge_for(limited_info, {{"service", service.str()}})
            .set(double(count));
    }
}

} // namespace

auto update_metrics(core::metrics_registry& registry, const node_view& view,
                    const dispatch::serving_state& serving_state) -> void
{
    registry.gauge_for(ready_info).set(view.is_ready ? 1 : 0);
    registry.gauge_for(in_flight_info).set(double(view.requests_in_flight));
    registry.gauge_for(peers_info).set(double(view.peers_alive));
    registry.gauge_for(configuration_info)
        .set(serving_state.config() ? double(serving_state.config()->version)
                                    : 0.0);
    raise_to(registry.counter_for(connections_info), view.upstream_connections);
    raise_to(registry.counter_for(dropped_info), view.log_lines_dropped);
    registry.gauge_for(quarantined_info).set(double(view.quarantined_parts));
    registry.gauge_for(quarantined_requests_info)
        .set(double(view.quarantined_requests));
    raise_to(registry.counter_for(crashes_info), view.upstream_crashes);
    update_services(registry, view);
    update_upstreams(registry, serving_state);
    for (const auto& kind : view.store) {
        const auto labels =
            core::metric_labels{{"kind", std::string(kind.kind)}};
        registry.gauge_for(store_connected_info, labels)
            .set(kind.is_connected ? 1 : 0);
        registry.gauge_for(store_revision_info, labels)
            .set(double(kind.revision.number));
        raise_to(registry.counter_for(store_calls_info, labels), kind.calls);
    }
}

} // namespace almondtiller::gateway
