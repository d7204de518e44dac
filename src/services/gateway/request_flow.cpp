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
    const serving::route& chosen, const serving::workspace* workspace_config)
    : shared(context),
      request(std::move(accepted_request)),
      caller(std::move(exchange)),
      config(std::move(in_force)),
      route(chosen),
      accepted(context.event_loop.now()),
      deadline_timer(context.event_loop, [this]() { this->on_deadline(); }),
      progress_timer(context.event_loop,
                     [this]() { this->on_progress_timeout(); }),
      hold_timer(context.event_loop, [this]() { this->on_hold_time_over(); }),
      search_timer(context.event_loop, [this]() { this->on_search_timer(); })
{
    this->priority = this->route.priority;
    if (workspace_config != nullptr) {
        this->workspace = workspace_config->name;
        this->weight = workspace_config->weight;
        this->priority = workspace_config->priority.value_or(this->priority);
    }
    const auto time_limit = std::min(
        this->request.deadline.value_or(default_deadline), this->route.timeout);
    this->due = this->accepted + this->route.target_latency;
    this->deadline = this->accepted + time_limit;
}

auto request_flow::elapsed_ms() const -> std::string
{
    return ms_text(this->shared.event_loop.now() - this->accepted);
}

auto request_flow::is_retryable() const -> bool
{
    return this->route.kind == serving::route_kind::idempotent ||
           (this->route.kind == serving::route_kind::streaming &&
            this->route.is_resumable);
}

auto request_flow::may_retry() const -> bool
{
    return this->is_retryable() &&
           this->attempts<this->route.max_attempts&& this->deadline -
                          this->shared.event_loop.now()>
               min_time_left;
}

auto request_flow::choose_service() -> void
{
    auto total = 0.0;
    for (const auto& option : this->route.services) {
        total += option.weight;
    }
    auto remaining_draw = this->shared.random.unit() * total;
    for (const auto& option : this->route.services) {
        this->service = option.service;
        remaining_draw -= option.weight;
        if (remaining_draw < 0) {
            return;
        }
    }
}

auto request_flow::output_tokens() const -> std::uint32_t
{
    return this->request.expected_output_tokens > 0
               ? this->request.expected_output_tokens
               : this->request.max_output_tokens;
}

auto request_flow::is_too_large() const -> bool
{
    const auto* spec = this->config->find_service(this->service);
    if (spec == nullptr || !spec->model || spec->model->kv_tokens == 0) {
        return false;
    }
    auto tokens = std::uint64_t(this->output_tokens());
    for (const auto& part : this->request.prompt) {
        tokens += part.tokens;
    }
    return tokens > spec->model->kv_tokens;
}

auto request_flow::zone_shares() const -> std::map<core::zone_name, double>
{
    auto services = std::set<serving::service_name>{this->service};
    for (const auto& stage : this->route.stages) {
        services.insert(stage.service);
    }
    const auto& serving_state = this->shared.serving_state;
    auto shares = std::map<core::zone_name, double>();
    for (const auto& [zone, count] :
         serving_state.usable_zones(this->service)) {
        shares[zone] = 1.0;
    }
    for (const auto& name : services) {
        const auto& zones = serving_state.usable_zones(name);
        auto total = std::size_t(0);
        for (const auto& [zone, count] : zones) {
            total += count;
        }
        for (auto& [zone, share] : shares) {
            const auto found = zones.find(zone);
            const auto zone_count = found == zones.end() ? 0 : found->second;
            const auto service_share =
                double(zone_count) / double(std::max<std::size_t>(total, 1));
            share = std::min(share, std::max(service_share, min_zone_share));
        }
    }
    return shares;
}

auto request_flow::choose_zone() const -> core::zone_name
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
    if (const auto reason =
            this->shared.crashes.quarantine_reason(this->request)) {
        this->reject(*reason, quarantine_retry_after);
        return;
    }
    const auto self = this->shared_from_this();
    this->caller->on_gone([self]() { self->on_caller_disconnected(); });
    this->deadline_timer.start(
        to_ms(this->deadline - this->shared.event_loop.now()));
    this->choose_service();
    if (this->is_too_large()) {
        this->reject("request_too_large", min_retry_delay);
        return;
    }
    this->zone = this->choose_zone();
    if (this->route.stages.empty()) {
        this->place(false);
        return;
    }
    this->stages.emplace(
        this->route, this->request, *this->config,
        this->due - typical_time_to_first_event,
        this->deadline - typical_time_to_first_event, this->priority,
        this->zone,
        [this](const auto& handle) { return this->zone_of_result(handle); });
    if (this->stages->work_bytes() > double(max_stage_work_bytes)) {
        this->reject("too_many_pieces", min_retry_delay);
        return;
    }
    if (this->request.piece_key.empty() && this->stages->needs_key()) {
        this->fail(bad_request, "no_piece_key");
        return;
    }
    this->run_stages();
}

auto request_flow::zone_of_result(const std::string& handle) const
    -> core::zone_name
{
    const auto holder = adapter::result_holder(handle);
    return holder ? this->shared.serving_state.zone_at(*holder)
                  : core::zone_name();
}

auto request_flow::work_of(std::size_t stage) const -> dispatch::stage_work
{
    auto work = this->stages->work_of(stage);
    const auto& zones = this->shared.serving_state.usable_zones(
        this->stages->service_of(stage));
    if (!zones.contains(work.zone)) {
        work.zone = this->zone;
    }
    work.workspace = this->workspace;
    work.weight = this->weight;
    return work;
}

auto request_flow::run_stages() -> void
{
    this->end_if_overloaded();
    if (this->is_finished) {
        return;
    }
    if (this->stages->is_complete()) {
        this->place(this->attempts > 0);
        return;
    }
    const auto self = this->shared_from_this();
    const auto current_run = this->stage_run;
    for (const auto stage : this->stages->start_ready()) {
        if (this->is_finished || this->stage_run != current_run) {
            return;
        }
        this->stage_numbers.push_back(this->shared.dispatch.run_stage(
            this->stages->service_of(stage), this->work_of(stage),
            [self, stage,
             run = this->stage_run](const dispatch::stage_outcome& outcome) {
                if (self->is_finished || run != self->stage_run) {
                    if (!outcome.handles.empty()) {
                        self->release({{self->stages->service_of(stage),
                                        outcome.handles}});
                    }
                    return;
                }
                self->on_stage_outcome(stage, outcome);
            }));
    }
}

auto request_flow::on_stage_outcome(std::size_t stage,
                                    const dispatch::stage_outcome& outcome)
    -> void
{
    switch (outcome.status) {
    case dispatch::stage_status::done:
        this->release(this->stages->on_done(stage, outcome.handles));
        this->run_stages();
        return;
    case dispatch::stage_status::input_lost:
        this->restart_stages();
        return;
    case dispatch::stage_status::rejected:
        this->give_up("stage_overloaded", outcome.retry_after);
        return;
    case dispatch::stage_status::failed:
        this->give_up("stage_failed", min_retry_delay);
        return;
    }
}

auto request_flow::reset_stages() -> void
{
    for (const auto number : std::exchange(this->stage_numbers, {})) {
        this->shared.dispatch.cancel(number);
    }
    this->release(this->stages->reset());
    ++this->stage_run;
}

auto request_flow::restart_stages() -> void
{
    this->reset_stages();
    ++this->stage_restarts;
    if (this->stage_restarts > max_stage_restarts) {
        this->give_up("results_lost", min_retry_delay);
        return;
    }
    this->shared.metrics.count_retry("results_lost");
    this->run_stages();
}

auto request_flow::release(const std::vector<released_results>& results) -> void
{
    for (const auto& released : results) {
        if (!released.handles.empty()) {
            this->shared.dispatch.free_results(released.service,
                                               released.handles);
        }
    }
}

auto request_flow::earliest_hold_off_end(
    const std::map<core::upstream_id, core::time_point>& hold_offs) const
    -> std::optional<core::time_point>
{
    if (hold_offs.empty()) {
        return std::nullopt;
    }
    auto earliest = core::time_point::max();
    const auto& serving_state = this->shared.serving_state;
    for (const auto& entry : serving_state.usable(
             serving_state.shard_for(this->service, this->zone))) {
        const auto hold = hold_offs.find(entry.upstream.id);
        const auto is_excluded =
            std::find(this->excluded.begin(), this->excluded.end(),
                      entry.upstream.id) != this->excluded.end();
        if (hold == hold_offs.end() && !is_excluded) {
            return std::nullopt;
        }
        if (hold != hold_offs.end()) {
            earliest = std::min(earliest, hold->second);
        }
    }
    return earliest == core::time_point::max() ? std::nullopt
                                               : std::optional(earliest);
}

auto request_flow::place(bool is_retry) -> void
{
    this->search_timer.stop();
    if (this->stages && !this->stages->is_complete()) {
        this->shared.metrics.count_retry("results_freed");
        this->run_stages();
        return;
    }
    auto placement = dispatch::placement_request();
    if (!this->shared.serving_state.usable_zones(this->service)
             .contains(this->zone)) {
        this->zone = this->choose_zone();
    }
    placement.request = this->request.id;
    placement.zone = this->zone;
    placement.prompt = this->request.prompt;
    placement.output_tokens = this->output_tokens();
    placement.excluded = this->excluded;
    const auto now = this->shared.event_loop.now();
    const auto hold_offs = this->shared.serving_state.held_off(now);
    for (const auto& [id, until] : hold_offs) {
        placement.excluded.push_back(id);
    }
    if (const auto available_at = this->earliest_hold_off_end(hold_offs)) {
        auto rejection = dispatch::placement_outcome();
        rejection.status = dispatch::placement_status::rejected;
        rejection.retry_after = to_ms(*available_at - now);
        this->on_placed(rejection);
        return;
    }
    placement.due = this->due;
    placement.deadline = this->deadline - min_time_left;
    placement.priority = this->priority;
    placement.is_retry = is_retry;
    placement.workspace = this->workspace;
    placement.weight = this->weight;
    if (this->stages) {
        const auto handles = this->stages->inputs();
        const auto sizes = this->stages->input_bytes();
        for (auto index = std::size_t(0); index < handles.size(); ++index) {
            const auto input_zone = this->zone_of_result(handles[index]);
            if (!input_zone.empty()) {
                placement.inputs.push_back({input_zone, sizes[index]});
            }
        }
    }
    const auto self = this->shared_from_this();
    this->placement_number = this->shared.dispatch.place(
        this->service, std::move(placement),
        [self](const dispatch::placement_outcome& outcome) {
            self->placement_number = 0;
            if (!self->is_finished) {
                self->on_placed(outcome);
            } else if (outcome.status == dispatch::placement_status::granted) {
                self->shared.dispatch.report_ended(
                    self->service, self->request.id,
                    dispatch::attempt_end::cancelled);
            }
        });
}

auto request_flow::on_placed(const dispatch::placement_outcome& outcome) -> void
{
    if (outcome.status == dispatch::placement_status::granted) {
        this->send(outcome.upstream);
        return;
    }
    if (outcome.status == dispatch::placement_status::too_large) {
        this->give_up("request_too_large", outcome.retry_after);
    } else if (this->caller->is_started()) {
        this->give_up("no_upstream_to_resume", outcome.retry_after);
    } else if (this->attempts > 0) {
        this->give_up("no_upstream_for_repeat", outcome.retry_after);
    } else {
        this->give_up("no_upstream", outcome.retry_after);
    }
}

} // namespace almondtiller::gateway
