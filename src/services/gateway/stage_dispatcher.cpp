#include "services/gateway/stage_dispatcher.h"

#include "platform/stage_calls.h"
#include "platform/upstream_messages.h"
#include "services/gateway/flow_limits.h"
#include "services/gateway/rollout_link.h"
#include "services/gateway/share_fields.h"
#include "services/gateway/speed_log.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

auto text_of(dispatch::stage_status status) -> std::string
{
    switch (status) {
    case dispatch::stage_status::done:
        return "done";
    case dispatch::stage_status::rejected:
        return "not_in_time";
    case dispatch::stage_status::input_lost:
        return "input_gone";
    case dispatch::stage_status::failed:
        return "no_service";
    }
    return "unknown";
}

} // namespace

stage_dispatcher::stage_dispatcher(
    event::loop& loop, const dispatch::serving_state& state,
    http1::client_pool& calls, event_log& logger, flow_metrics& counters,
    dispatch::stage_queue_limits bounds, dispatch::upstream_source usable,
    std::function<void()> request_pump, verdict_hook on_verdict)
    : event_loop(loop),
      serving_state(state),
      pool(calls),
      log(logger),
      metrics(counters),
      limits(bounds),
      usable_upstreams(std::move(usable)),
      schedule_pump(std::move(request_pump)),
      report_verdict(std::move(on_verdict))
{}

auto stage_dispatcher::find(const dispatch::shard& shard_key) -> stage_shard*
{
    const auto found = this->owned_shards.find(shard_key);
    if (found != this->owned_shards.end()) {
        return found->second.get();
    }
    const auto* spec = this->serving_state.find_service(shard_key.service);
    if (spec == nullptr || !spec->stages) {
        return nullptr;
    }
    auto created = std::make_shared<stage_shard>(stage_shard{
        dispatch::stage_queue(*spec->stages, this->limits), {}, {}, {}});
    auto* result = created.get();
    if (this->uses_speeds) {
        result->queue.upstream_speeds().enable();
    }
    if (this->uses_room_reports) {
        result->queue.enable_room_reports();
    }
    result->queue.set_version_rules(
        make_version_rules(this->rollouts, shard_key.service));
    this->owned_shards[shard_key] = std::move(created);
    this->refresh();
    return result;
}

auto stage_dispatcher::refresh() -> void
{
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        const auto* spec = this->serving_state.find_service(shard_key.service);
        if (spec != nullptr && spec->stages) {
            shard_state->queue.set_pool(*spec->stages);
        }
        auto upstreams = std::vector<dispatch::stage_upstream>();
        for (const auto& upstream : this->usable_upstreams(shard_key)) {
            upstreams.push_back(
                {upstream.upstream.id, upstream.upstream.address,
                 upstream.upstream.zone, upstream.request_limit,
                 this->rollouts == nullptr ||
                     this->rollouts->is_in_use(shard_key.service,
                                               upstream.upstream.id)});
        }
        shard_state->queue.set_upstreams(upstreams);
    }
}

auto stage_dispatcher::pump() -> bool
{
    auto is_active = false;
    // A copy, because callbacks may add shards.
    const auto current = this->owned_shards;
    for (const auto& [shard_key, shard_state] : current) {
        this->apply(shard_key, *shard_state,
                    shard_state->queue.on_tick(this->event_loop.now()));
        this->request_room(shard_key, *shard_state);
        while (auto call =
                   shard_state->queue.next_call(this->event_loop.now())) {
            this->send_call(shard_key, *call);
        }
        is_active = is_active || !shard_state->waiting.empty() ||
                    !shard_state->calls.empty();
    }
    return is_active;
}

auto stage_dispatcher::submit(const serving::service_name& name,
                              std::uint64_t ticket, dispatch::stage_work work,
                              stage_done done) -> bool
{
    work.ticket = ticket;
    const auto shard_key = this->serving_state.shard_for(name, work.zone);
    auto* shard_state = this->find(shard_key);
    if (shard_state == nullptr) {
        auto failure = dispatch::stage_outcome();
        failure.status = dispatch::stage_status::failed;
        done(failure);
        return false;
    }
    const auto now = this->event_loop.now();
    auto entry = pending_work();
    if (!work.items.empty()) {
        entry.request = work.items.front().request;
    }
    entry.submitted = now;
    entry.deadline = work.deadline;
    entry.workspace = work.workspace;
    entry.priority = work.priority;
    if (const auto rejection =
            shard_state->queue.submit(std::move(work), now)) {
        this->log_outcome(shard_key, *shard_state, entry, *rejection);
        done(*rejection);
        return false;
    }
    entry.done = std::move(done);
    shard_state->waiting[ticket] = std::move(entry);
    this->schedule_pump();
    return true;
}

auto stage_dispatcher::cancel(const serving::service_name& name,
                              std::uint64_t ticket) -> void
{
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        if (shard_key.service == name &&
            shard_state->waiting.erase(ticket) > 0) {
            this->apply(shard_key, *shard_state,
                        shard_state->queue.cancel(ticket));
            return;
        }
    }
}

auto stage_dispatcher::send_call(const dispatch::shard& shard_key,
                                 const dispatch::stage_call& call) -> void
{
    auto answer = std::make_shared<call_answer>();
    auto hooks = this->keep_answer(call.upstream.id, answer);
    hooks.identify = [pieces = call.items.size(), answer]() {
        return read_results(pieces, *answer);
    };
    auto options = http1::call_options();
    options.connect_limit = connect_timeout;
    auto request = adapter::encode_stage_call(call.upstream.address,
                                              call.upstream.id, call.items);
    auto limit = std::make_shared<event::timer>(
        this->event_loop, [this, shard_key, call]() {
            auto* shard_state = this->find(shard_key);
            if (shard_state == nullptr) {
                return;
            }
            const auto open = shard_state->calls.find(call.id);
            if (open != shard_state->calls.end()) {
                open->second->cancel();
                this->on_call_done(shard_key, call, {},
                                   std::make_error_code(std::errc::timed_out));
            }
        });
    limit->start(stage_call_timeout);
    hooks.on_done = [this, shard_key, call, answer, limit,
                     sent_at = this->event_loop.now()](std::error_code error,
                                                       bool) {
        limit->stop();
        this->confirm_verdict(call.upstream.id, *answer, sent_at, error);
        this->on_call_done(shard_key, call, *answer, error);
    };
    this->open_record(*this->owned_shards[shard_key], call);
    this->owned_shards[shard_key]->calls[call.id] =
        this->pool.call({call.upstream.id.str(), call.upstream.address},
                        std::move(request), options, std::move(hooks));
}

auto stage_dispatcher::handle_verdict(const core::upstream_id& upstream,
                                      const serving::upstream_verdict& verdict,
                                      core::time_point sent_at) -> void
{
    if (verdict.hold_off.count() > 0) {
        const auto until = this->event_loop.now() + verdict.hold_off;
        for (auto& [shard_key, shard_state] : this->owned_shards) {
            shard_state->queue.hold_off(upstream, until);
        }
    }
    this->report_verdict(upstream, verdict, sent_at);
    if (verdict.is_genuine && verdict.load.slowdown_percent) {
        this->record_speed(upstream, *verdict.load.slowdown_percent);
    }
}

auto stage_dispatcher::on_call_done(const dispatch::shard& shard_key,
                                    const dispatch::stage_call& call,
                                    const call_answer& answer,
                                    std::error_code error) -> void
{
    const auto found = this->owned_shards.find(shard_key);
    if (found == this->owned_shards.end()) {
        return;
    }
    auto& shard_state = *found->second;
    shard_state.calls.erase(call.id);
    this->close_record(shard_state, call, answer, error);
    const auto now = this->event_loop.now();
    if (!error && answer.results) {
        this->apply(
            shard_key, shard_state,
            shard_state.queue.on_results(call.id, *answer.results, now));
        log_speed_changes(this->log, shard_key,
                          shard_state.queue.upstream_speeds());
        this->schedule_pump();
        return;
    }
    this->log.write(severity::failure, "stage_call_failed",
                    {{"service", shard_key.service.str()},
                     {"upstream", call.upstream.id.str()},
                     {"pieces", std::to_string(call.items.size())},
                     {"status", std::to_string(answer.verdict.status)},
                     {"error", error ? error.message() : "none"}});
    constexpr auto overload_status = 503;
    this->apply(
        shard_key, shard_state,
        shard_state.queue.on_call_failed(
            call.id, !error && answer.verdict.status == overload_status, now));
    this->schedule_pump();
}

auto stage_dispatcher::apply(const dispatch::shard& shard_key,
                             stage_shard& shard_state,
                             const dispatch::stage_effects& effects) -> void
{
    if (!effects.unused_results.empty()) {
        this->free_results(shard_key.service, effects.unused_results);
    }
    for (const auto& outcome : effects.outcomes) {
        const auto found = shard_state.waiting.find(outcome.ticket);
        if (found == shard_state.waiting.end()) {
            continue;
        }
        const auto work = std::move(found->second);
        shard_state.waiting.erase(found);
        this->log_outcome(shard_key, shard_state, work, outcome);
        work.done(outcome);
    }
}

auto stage_dispatcher::log_outcome(const dispatch::shard& shard_key,
                                   const stage_shard& shard_state,
                                   const pending_work& work,
                                   const dispatch::stage_outcome& outcome)
    -> void
{
    const auto now = this->event_loop.now();
    const auto is_done = outcome.status == dispatch::stage_status::done;
    this->metrics.record_stage(shard_key.service, text_of(outcome.status),
                               now - work.submitted);
    if (this->limits.has_fair_sharing) {
        this->metrics.record_workspace(work.workspace, text_of(outcome.status),
                                       now - work.submitted);
    }
    const auto share = is_done ? share_fields()
                               : describe(shard_state.queue.share_of(
                                     work.workspace, work.priority, now));
    this->log.write(
        is_done ? severity::detail : severity::failure,
        is_done ? "stage_done" : "stage_refused",
        {{"request", work.request.str()},
         {"service", shard_key.service.str()},
         {"zone", shard_key.zone.str()},
         {"reason", text_of(outcome.status)},
         {"waited_ms", ms_text(now - work.submitted)},
         {"left_ms", ms_text(work.deadline - now)},
         {"retry_after_ms", ms_text(outcome.retry_after)},
         {"workspace", work.workspace.str()},
         {"priority", std::to_string(work.priority)},
         {"share", share.share},
         {"entitled", share.entitled},
         {"workspace_waiting", share.waiting},
         {"queue_ms", ms_text(shard_state.queue.estimated_wait(now))},
         {"pieces_waiting", std::to_string(shard_state.queue.waiting_pieces())},
         {"upstreams",
          std::to_string(this->serving_state.usable(shard_key).size())}});
}

auto stage_dispatcher::add_loads(
    std::map<serving::service_name, service_load>& loads) const -> void
{
    for (const auto& [shard_key, shard_state] : this->owned_shards) {
        auto& load = loads[shard_key.service];
        load.service = shard_key.service;
        load.stage_pieces_waiting += shard_state->queue.waiting_pieces();
        load.stage_wait =
            std::max(load.stage_wait,
                     shard_state->queue.estimated_wait(this->event_loop.now()));
        add_speeds(load, shard_state->queue.upstream_speeds(),
                   this->event_loop.now());
    }
}

} // namespace almondtiller::gateway
