#include "services/gateway/request_flow.h"

#include "platform/stage_calls.h"
#include "routing/rendezvous.h"
#include "services/gateway/flow_limits.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace almondtiller::gateway {

request_flow::request_flow(
    flow_context& context, serving::caller_request accepted_request,
    std::shared_ptr<http1::exchange> exchange,
    std::shared_ptr<const serving::configuration> in_force,
    const serving::route& chosen, const serving::workspace* owner)
    : shared(context),
      request(std::move(accepted_request)),
      caller(std::move(exchange)),
      config(std::move(in_force)),
      route(chosen),
      accepted(context.owner.now()),
      time_over(context.owner, [this]() { this->on_time_over(); }),
      silence(context.owner, [this]() { this->on_silent(); })
{
    this->priority = this->route.priority;
    if (owner != nullptr) {
        this->workspace = owner->name;
        this->priority = owner->priority.value_or(this->priority);
    }
    const auto patience = std::min(
        this->request.deadline.value_or(default_deadline), this->route.timeout);
    this->due = this->accepted + this->route.target_latency;
    this->deadline = this->accepted + patience;
}

auto request_flow::elapsed_ms() const -> std::string
{
    return ms_text(this->shared.owner.now() - this->accepted);
}

auto request_flow::is_repeatable() const -> bool
{
    return this->route.kind == serving::route_kind::idempotent ||
           (this->route.kind == serving::route_kind::streaming &&
            this->route.is_resumable);
}

auto request_flow::may_repeat() const -> bool
{
    return this->is_repeatable() &&
           this->attempts<this->route.max_attempts&& this->deadline -
                          this->shared.owner.now()>
               least_time_left;
}

auto request_flow::choose_service() -> void
{
    auto total = 0.0;
    for (const auto& option : this->route.services) {
        total += option.weight;
    }
    auto drawn = this->shared.random.unit() * total;
    for (const auto& option : this->route.services) {
        this->service = option.service;
        drawn -= option.weight;
        if (drawn < 0) {
            return;
        }
    }
}

auto request_flow::zone_shares() const -> std::map<core::zone_name, double>
{
    auto services = std::set<serving::service_name>{this->service};
    for (const auto& stage : this->route.stages) {
        services.insert(stage.service);
    }
    const auto& known = this->shared.known;
    auto shares = std::map<core::zone_name, double>();
    for (const auto& [zone, count] : known.usable_zones(this->service)) {
        shares[zone] = 1.0;
    }
    for (const auto& name : services) {
        const auto& zones = known.usable_zones(name);
        auto total = std::size_t(0);
        for (const auto& [zone, count] : zones) {
            total += count;
        }
        for (auto& [zone, share] : shares) {
            const auto found = zones.find(zone);
            const auto here = found == zones.end() ? 0 : found->second;
            const auto part =
                double(here) / double(std::max<std::size_t>(total, 1));
            share = std::min(share, std::max(part, least_zone_share));
        }
    }
    return shares;
}

auto request_flow::home_zone() const -> core::zone_name
{
    const auto& prompt = this->request.prompt;
    const auto key = routing::placement_hash(prompt.size() >= 2
                                                 ? prompt[prompt.size() - 2].id
                                                 : this->request.id.str());
    auto best = core::zone_name();
    auto best_score = 0.0;
    for (const auto& [zone, share] : this->zone_shares()) {
        // Weighted rendezvous hashing: -w / ln(u) for u uniform in (0, 1).
        const auto weight = routing::rendezvous_weight(
            key, routing::placement_hash(zone.str()));
        const auto unit = (double(weight) + 1.0) / 18446744073709551618.0;
        const auto score = -share / std::log(unit);
        if (best.empty() || score > best_score) {
            best = zone;
            best_score = score;
        }
    }
    return best;
}

auto request_flow::start() -> void
{
    this->shared.metrics.count_request();
    const auto self = this->shared_from_this();
    this->caller->on_gone([self]() { self->on_caller_gone(); });
    this->time_over.start(to_ms(this->deadline - this->shared.owner.now()));
    this->choose_service();
    this->zone = this->home_zone();
    if (this->route.stages.empty()) {
        this->place(false);
        return;
    }
    this->stages.emplace(
        this->route, this->request, *this->config,
        this->due - usual_first_event, this->deadline - usual_first_event,
        this->priority, this->zone,
        [this](const auto& handle) { return this->zone_of_result(handle); });
    this->run_stages();
}

auto request_flow::zone_of_result(const std::string& handle) const
    -> core::zone_name
{
    const auto holder = adapter::result_holder(handle);
    return holder ? this->shared.known.zone_at(*holder) : core::zone_name();
}

auto request_flow::work_of(std::size_t stage) const -> dispatch::stage_work
{
    auto work = this->stages->work_of(stage);
    const auto& zones =
        this->shared.known.usable_zones(this->stages->service_of(stage));
    if (!zones.contains(work.zone)) {
        work.zone = this->zone;
    }
    return work;
}

auto request_flow::run_stages() -> void
{
    if (this->stages->is_complete()) {
        this->place(false);
        return;
    }
    const auto self = this->shared_from_this();
    for (const auto stage : this->stages->start_ready()) {
        if (this->is_over) {
            return;
        }
        this->stage_calls.push_back(this->shared.dispatch.run_stage(
            this->stages->service_of(stage), this->work_of(stage),
            [self, stage, round = this->stage_restarts](
                const dispatch::stage_outcome& outcome) {
                if (self->is_over || round != self->stage_restarts) {
                    if (!outcome.handles.empty()) {
                        self->release({{self->stages->service_of(stage),
                                        outcome.handles}});
                    }
                    return;
                }
                self->on_stage(stage, outcome);
            }));
    }
}

auto request_flow::on_stage(std::size_t stage,
                            const dispatch::stage_outcome& outcome) -> void
{
    switch (outcome.status) {
    case dispatch::stage_status::done:
        this->release(this->stages->on_done(stage, outcome.handles));
        this->run_stages();
        return;
    case dispatch::stage_status::input_gone:
        this->restart_stages();
        return;
    case dispatch::stage_status::refused:
        this->refuse("stage_overloaded", outcome.retry_after);
        return;
    case dispatch::stage_status::failed:
        this->refuse("stage_failed", shortest_retry);
        return;
    }
}

auto request_flow::restart_stages() -> void
{
    for (const auto number : std::exchange(this->stage_calls, {})) {
        this->shared.dispatch.cancel(number);
    }
    this->release(this->stages->reset());
    ++this->stage_restarts;
    if (this->stage_restarts > most_stage_restarts) {
        this->refuse("results_lost", shortest_retry);
        return;
    }
    this->shared.metrics.count_repeat("results_lost");
    this->run_stages();
}

auto request_flow::release(const std::vector<released_results>& results) -> void
{
    for (const auto& part : results) {
        if (!part.handles.empty()) {
            this->shared.dispatch.free_results(part.service, part.handles);
        }
    }
}

auto request_flow::all_held_until(
    const std::map<core::upstream_id, core::time_point>& held) const
    -> std::optional<core::time_point>
{
    if (held.empty()) {
        return std::nullopt;
    }
    auto first = core::time_point::max();
    const auto& known = this->shared.known;
    for (const auto& entry :
         known.usable(known.shard_for(this->service, this->zone))) {
        const auto hold = held.find(entry.upstream.id);
        const auto is_excluded =
            std::find(this->excluded.begin(), this->excluded.end(),
                      entry.upstream.id) != this->excluded.end();
        if (hold == held.end() && !is_excluded) {
            return std::nullopt;
        }
        if (hold != held.end()) {
            first = std::min(first, hold->second);
        }
    }
    return first == core::time_point::max() ? std::nullopt
                                            : std::optional(first);
}

auto request_flow::place(bool is_repeat) -> void
{
    auto wanted = dispatch::placement_request();
    if (!this->shared.known.usable_zones(this->service).contains(this->zone)) {
        this->zone = this->home_zone();
    }
    wanted.request = this->request.id;
    wanted.zone = this->zone;
    wanted.prompt = this->request.prompt;
    wanted.output_tokens = this->request.expected_output_tokens > 0
                               ? this->request.expected_output_tokens
                               : this->request.max_output_tokens;
    wanted.excluded = this->excluded;
    const auto now = this->shared.owner.now();
    const auto held = this->shared.known.held_off(now);
    for (const auto& [id, until] : held) {
        wanted.excluded.push_back(id);
    }
    if (const auto free_at = this->all_held_until(held)) {
        auto refusal = dispatch::placement_outcome();
        refusal.status = dispatch::placement_status::refused;
        refusal.retry_after = to_ms(*free_at - now);
        this->on_placed(refusal);
        return;
    }
    wanted.due = this->due;
    wanted.deadline = this->deadline - least_time_left;
    wanted.priority = this->priority;
    wanted.is_repeat = is_repeat;
    if (this->stages) {
        const auto handles = this->stages->inputs();
        const auto sizes = this->stages->input_bytes();
        for (auto index = std::size_t(0); index < handles.size(); ++index) {
            const auto at = this->zone_of_result(handles[index]);
            if (!at.empty()) {
                wanted.inputs.push_back({at, sizes[index]});
            }
        }
    }
    const auto self = this->shared_from_this();
    this->placing = this->shared.dispatch.place(
        this->service, std::move(wanted),
        [self](const dispatch::placement_outcome& outcome) {
            self->placing = 0;
            if (!self->is_over) {
                self->on_placed(outcome);
            } else if (outcome.status == dispatch::placement_status::granted) {
                self->shared.dispatch.report_ended(
                    self->service, self->request.id,
                    dispatch::work_end::given_up);
            }
        });
}

auto request_flow::on_placed(const dispatch::placement_outcome& outcome) -> void
{
    if (outcome.status == dispatch::placement_status::granted) {
        this->send(outcome.upstream);
        return;
    }
    if (this->caller->is_started()) {
        this->break_off("no_upstream_to_resume");
    } else if (this->head && !is_success(this->verdict.status) &&
               !this->verdict.not_run) {
        // No retry is possible: the caller gets the upstream's error answer.
        this->on_answer();
    } else if (this->attempts > 0) {
        this->fail(bad_gateway, "no_upstream_for_repeat");
    } else {
        this->refuse("no_upstream", outcome.retry_after);
    }
}

} // namespace almondtiller::gateway
