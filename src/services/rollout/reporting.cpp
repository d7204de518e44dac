#include "event/loop.h"
#include "services/rollout/rollout_service.h"

#include <algorithm>
#include <utility>

namespace almondtiller::rollout {

namespace {

/// Time between two reports; in a large fleet longer, so that the coordinator
/// gets 200 a second at most.
constexpr auto min_report_interval = core::milliseconds(500);
constexpr auto report_interval_per_node = core::milliseconds(5);
/// Within this time the coordinator answers a report.
constexpr auto report_timeout = core::milliseconds(1000);

} // namespace

auto rollout_service::report_interval() const -> core::duration
{
    return std::max<core::duration>(min_report_interval,
                                    report_interval_per_node *
                                        std::int64_t(this->registered_nodes));
}

auto rollout_service::send_report(carried_order& running,
                                  const core::node_id& coordinator,
                                  core::time_point now) -> void
{
    if (running.is_reporting ||
        now - running.last_report < this->report_interval()) {
        return;
    }
    const auto& order = running.execution.carried_out();
    const auto owner = this->carried.find(order.service);
    if (owner == this->carried.end() || owner->second.get() != &running) {
        return;
    }
    running.is_reporting = true;
    running.last_report = now;
    const auto weak = std::weak_ptr<carried_order>(owner->second);
    this->hooks.call(
        coordinator,
        encode(report_message{order, this->make_report(running, now)}),
        report_timeout, [this, weak](const core::result<std::string>& answer) {
            const auto open = weak.lock();
            if (!open) {
                return;
            }
            open->is_reporting = false;
            const auto newer = answer ? decode_directive(answer.value())
                                      : core::result<directive>(answer.error());
            if (newer && newer.value().number > 0) {
                const auto received = this->event_loop.now();
                open->last_answer = received;
                this->on_directive(*open, newer.value(), received);
            }
        });
}

auto rollout_service::make_report(const carried_order& running,
                                  core::time_point now) const -> node_report
{
    const auto& execution = running.execution;
    const auto& order = execution.carried_out();
    auto report = node_report();
    report.node = this->self;
    report.incarnation = this->incarnation;
    if (const auto* known = this->book.find(order.service)) {
        report.order_age = now - known->known_since;
    }
    report.applied = execution.in_force();
    const auto held = this->hooks.held_results(
        order.service, [&execution](const core::upstream_id& id) {
            return !execution.is_new(id);
        });
    // While requests may still be sent to old upstreams, the node has not
    // finished its work there.
    report.open_at_old = this->counts->open_at_old(order) + held +
                         (execution.is_lenient(now) ? 1 : 0);
    if (const auto* counted = this->counts->find(order.service)) {
        report.sent = counted->sent;
        report.sent_new = counted->sent_new;
        report.counts = counted->counts;
    }
    return report;
}

} // namespace almondtiller::rollout
