#include "services/rollout/rollout_service.h"

#include "event/loop.h"

#include <algorithm>

namespace almondtiller::rollout {

namespace {

/// Time for which a node that is no longer alive still counts: it may be cut
/// off for a moment and go on sending.
constexpr auto lost_node_time = core::milliseconds(3000);
/// A node reports at least this often; a leaving one counts while it does.
constexpr auto leaving_node_time = core::milliseconds(2000);

} // namespace

auto rollout_service::note_nodes(core::time_point now) -> void
{
    const auto others = this->hooks.other_nodes();
    this->registered_nodes = others.size() + 1;
    this->alive_nodes = 1;
    for (const auto& other : others) {
        const auto is_unknown = !this->last_alive.contains(other.node);
        if (other.is_alive || is_unknown) {
            this->last_alive[other.node] = now;
        }
        this->alive_nodes += other.is_alive ? 1 : 0;
    }
    std::erase_if(this->last_alive, [now](const auto& item) {
        return now - item.second > lost_node_time;
    });
}

auto rollout_service::awaited(const carried_order& running,
                              core::time_point now) const
    -> std::set<core::node_id>
{
    auto nodes = std::set<core::node_id>{this->self};
    for (const auto& [node, at] : this->last_alive) {
        nodes.insert(node);
    }
    for (const auto& [node, at] : running.reported_at) {
        if (now - at <= leaving_node_time) {
            nodes.insert(node);
        }
    }
    return nodes;
}

auto rollout_service::room(const order_execution& execution) const
    -> version_room
{
    struct slot_count
    {
        std::uint32_t upstreams = 0;
        std::uint32_t slots = 0;
    };
    auto by_version = std::map<std::string, slot_count>();
    for (const auto& known :
         this->serving_state.usable(execution.carried_out().service)) {
        const auto& upstream = known.upstream;
        auto& counted = by_version[upstream.version];
        ++counted.upstreams;
        counted.slots += upstream.slots;
    }
    auto room = version_room();
    for (const auto& [version, counted] : by_version) {
        if (version == execution.carried_out().to) {
            room.new_upstreams = counted.upstreams;
            room.new_slots = counted.slots;
        } else if (counted.slots > room.old_slots) {
            // Upstreams of an order that was replaced still run beside those
            // that serve the traffic, so only the largest version counts.
            room.old_upstreams = counted.upstreams;
            room.old_slots = counted.slots;
        }
    }
    return room;
}

auto rollout_service::placers(const serving::service_name& service) const
    -> std::uint32_t
{
    return std::uint32_t(std::max(this->serving_state.shards_of(service).size(),
                                  std::size_t(1)));
}

auto rollout_service::coordinate(carried_order& running, core::time_point now)
    -> void
{
    // A node that is cut off from most others must decide nothing.
    if (this->alive_nodes * 2 < this->registered_nodes) {
        running.controller.reset();
        return;
    }
    const auto& order = running.execution.carried_out();
    if (!running.controller) {
        running.controller.emplace(order, this->limits, now);
        running.logged = {};
    }
    running.controller->on_report(this->make_report(running, now), now);
    running.last_answer = now;
    this->decide(running, now);
}

auto rollout_service::decide(carried_order& running, core::time_point now)
    -> void
{
    running.controller->set_alive(this->awaited(running, now));
    running.controller->set_room(this->room(running.execution));
    const auto decided = running.controller->decide(now);
    if (decided.directive.number > 0) {
        this->log_decision(running, decided);
        this->on_directive(running, decided.directive, now);
    }
}

auto rollout_service::on_message(const std::string& body) -> std::string
{
    const auto message = decode_report(body);
    if (!message) {
        this->hooks.log(false, "rollout_report_unreadable",
                        {{"error", message.error().message()}});
        return {};
    }
    const auto& order = message.value().order;
    const auto& report = message.value().report;
    const auto now = this->event_loop.now();
    const auto owner = this->carried.find(order.service);
    if (owner == this->carried.end() ||
        owner->second->execution.carried_out() != order) {
        return {};
    }
    // Keeps the order until the end of this function.
    const auto running = owner->second;
    if (!running->ended_as) {
        if (report.applied.phase == phase::completed) {
            this->end(*running, order_state::completed, "report");
        } else if (report.applied.phase == phase::rolled_back) {
            this->end(*running, order_state::rolled_back, "report");
        }
    }
    if (running->controller) {
        running->reported_at[report.node] = now;
        running->controller->on_report(report, now);
        this->decide(*running, now);
    }
    const auto is_fresh =
        running->ended_as || now - running->last_answer <= leaving_node_time;
    return is_fresh && running->execution.in_force().number > 0
               ? encode(running->execution.in_force())
               : std::string();
}

auto rollout_service::log_decision(carried_order& running,
                                   const decision& decided) -> void
{
    const auto& chosen = decided.directive;
    if (chosen == running.logged) {
        return;
    }
    running.logged = chosen;
    const auto& order = running.execution.carried_out();
    const auto& why = decided.evidence;
    this->hooks.log(chosen.phase == phase::rolled_back, "rollout_directive",
                    {{"service", order.service.str()},
                     {"to", order.to},
                     {"number", std::to_string(chosen.number)},
                     {"phase", std::string(text_of(chosen.phase))},
                     {"reason", why.reason},
                     {"route", why.route},
                     {"share", std::to_string(chosen.share)},
                     {"extra_per_s", std::to_string(chosen.extra_per_second)},
                     {"upstreams", std::to_string(chosen.upstreams)},
                     {"new_answers", std::to_string(why.new_answers)},
                     {"new_failed", std::to_string(why.new_failed)},
                     {"new_slow", std::to_string(why.new_slow)},
                     {"old_answers", std::to_string(why.old_answers)},
                     {"old_failed", std::to_string(why.old_failed)},
                     {"slow_bound_ms", ms_text(why.slow_bound)},
                     {"sent", std::to_string(why.sent)},
                     {"sent_new", std::to_string(why.sent_new)},
                     {"left_ms", ms_text(why.time_left)}});
}

auto rollout_service::log_invalid(const std::vector<invalid_order>& invalid)
    -> void
{
    for (const auto& one : invalid) {
        // One line for the fleet, not one for each node.
        if (this->hooks.coordinator_of(serving::service_name(one.name)) !=
            this->self) {
            continue;
        }
        this->hooks.log(true, "rollout_order_invalid",
                        {{"order", one.name}, {"reason", one.reason}});
    }
}

} // namespace almondtiller::rollout
