#include "services/gateway/rollout_link.h"

#include <string>

namespace almondtiller::gateway {

namespace {

using core::metric_kind;

constexpr auto phase_info = core::metric_info{
    "almondtiller_gateway_rollout_phase", metric_kind::gauge,
    "Phase of an order that this node applies, by service and version: 0 "
    "observing, 1 loaded, 2 promoting, 3 completed, 4 rolled back."};
constexpr auto sent_info = core::metric_info{
    "almondtiller_gateway_rollout_sent", metric_kind::gauge,
    "Requests and stage calls that this node has sent since an order, by "
    "service and version."};
constexpr auto answered_info = core::metric_info{
    "almondtiller_gateway_rollout_answered", metric_kind::gauge,
    "Answers of upstreams since an order, by service and version."};
constexpr auto failed_info = core::metric_info{
    "almondtiller_gateway_rollout_failed", metric_kind::gauge,
    "Answers with a status of 500 or more since an order, by service and "
    "version."};
constexpr auto open_info = core::metric_info{
    "almondtiller_gateway_rollout_open_at_old", metric_kind::gauge,
    "Requests and stage calls of this node that are open at upstreams of other "
    "versions than the order's, by service."};

/// Name for all versions other than the order's.
constexpr auto other_versions = "other";

} // namespace

auto update_rollout_metrics(core::metrics_registry& registry,
                            const rollout::rollout_service& rollouts) -> void
{
    for (const auto& view : rollouts.views()) {
        const auto service = view.known.order.service.str();
        const auto labels_of = [&](bool is_new) {
            return core::metric_labels{
                {"service", service},
                {"version", is_new ? view.known.order.to : other_versions}};
        };
        auto answered = std::map<bool, std::uint64_t>{{false, 0}, {true, 0}};
        auto failed = answered;
        for (const auto& [key, counted] : view.counts.counts) {
            answered[key.is_new] += counted.answered;
            failed[key.is_new] += counted.failed;
        }
        for (const auto is_new : {false, true}) {
            const auto sent = is_new ? view.counts.sent_new
                                     : view.counts.sent - view.counts.sent_new;
            registry.gauge_for(sent_info, labels_of(is_new)).set(double(sent));
            registry.gauge_for(answered_info, labels_of(is_new))
                .set(double(answered[is_new]));
            registry.gauge_for(failed_info, labels_of(is_new))
                .set(double(failed[is_new]));
        }
        registry.gauge_for(phase_info, labels_of(true))
            .set(double(int(view.applied.phase)));
        registry.gauge_for(open_info, {{"service", service}})
            .set(double(view.open_at_old));
    }
}

} // namespace almondtiller::gateway
