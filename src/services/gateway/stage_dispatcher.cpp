#include "services/gateway/stage_dispatcher.h"

#include "platform/stage_calls.h"
#include "platform/upstream_messages.h"
#include "services/gateway/flow_limits.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Timeout of calls that run stage work or free results.
constexpr auto longest_call = core::milliseconds(5000);

auto text_of(dispatch::stage_status status) -> std::string
{
    switch (status) {
    case dispatch::stage_status::done:
        return "done";
    case dispatch::stage_status::refused:
        return "not_in_time";
    case dispatch::stage_status::input_gone:
        return "input_gone";
    case dispatch::stage_status::failed:
        return "no_service";
    }
    return "unknown";
}

} // namespace

stage_dispatcher::stage_dispatcher(event::loop& loop,
                                   const dispatch::serving_state& state,
                                   http1::client_pool& calls, event_log& lines,
                                   flow_metrics& counters,
                                   std::function<void()> ask_for_pump,
                                   verdict_hook on_verdict)
    : owner(loop),
      known(state),
      pool(calls),
      log(lines),
      metrics(counters),
      schedule(std::move(ask_for_pump)),
      heed(std::move(on_verdict))
{}

auto stage_dispatcher::find(const dispatch::shard& part) -> stage_service*
{
    const auto found = this->parts.find(part);
    if (found != this->parts.end()) {
        return found->second.get();
    }
    const auto* spec = this->known.find_service(part.service);
    if (spec == nullptr || !spec->stages) {
        return nullptr;
    }
    auto made = std::make_shared<stage_service>(
        stage_service{dispatch::stage_queue(*spec->stages), {}, {}});
    auto* result = made.get();
    this->parts[part] = std::move(made);
    this->refresh();
    return result;
}

auto stage_dispatcher::refresh() -> void
{
    for (auto& [part, service] : this->parts) {
        const auto* spec = this->known.find_service(part.service);
        if (spec != nullptr && spec->stages) {
            service->queue.set_pool(*spec->stages);
        }
        auto engines = std::vector<dispatch::stage_engine>();
        for (const auto& upstream : this->known.usable(part)) {
            engines.push_back({upstream.upstream.id, upstream.upstream.address,
                               upstream.upstream.zone});
        }
        service->queue.set_engines(engines);
    }
}

auto stage_dispatcher::pump() -> bool
{
    auto is_active = false;
    // A copy, because callbacks may add shards.
    const auto current = this->parts;
    for (const auto& [part, service] : current) {
        this->apply(part, *service, service->queue.on_time(this->owner.now()));
        while (auto call = service->queue.next_call(this->owner.now())) {
            this->send_call(part, *call);
        }
        is_active =
            is_active || !service->waiting.empty() || !service->calls.empty();
    }
    return is_active;
}

auto stage_dispatcher::submit(const serving::service_name& name,
                              std::uint64_t ticket, dispatch::stage_work work,
                              stage_done done) -> bool
{
    work.ticket = ticket;
    const auto part = this->known.shard_for(name, work.zone);
    auto* service = this->find(part);
    if (service == nullptr) {
        auto failure = dispatch::stage_outcome();
        failure.status = dispatch::stage_status::failed;
        done(failure);
        return false;
    }
    const auto now = this->owner.now();
    auto entry = waiting_work();
    if (!work.items.empty()) {
        entry.request = work.items.front().request;
    }
    entry.submitted = now;
    entry.deadline = work.deadline;
    if (const auto refusal = service->queue.submit(std::move(work), now)) {
        this->log_outcome(part, *service, entry, *refusal);
        done(*refusal);
        return false;
    }
    entry.done = std::move(done);
    service->waiting[ticket] = std::move(entry);
    this->schedule();
    return true;
}

auto stage_dispatcher::cancel(const serving::service_name& name,
                              std::uint64_t ticket) -> void
{
    for (auto& [part, service] : this->parts) {
        if (part.service == name && service->waiting.erase(ticket) > 0) {
            this->apply(part, *service, service->queue.cancel(ticket));
            return;
        }
    }
}

auto stage_dispatcher::send_call(const dispatch::shard& part,
                                 const dispatch::stage_call& call) -> void
{
    auto body = std::make_shared<std::string>();
    auto verdict = std::make_shared<serving::upstream_verdict>();
    auto hooks = http1::pool_hooks();
    hooks.on_head = [this, verdict, call](const http1::response_head& head) {
        *verdict = adapter::decode_verdict(head);
        this->heed_answer(call.engine.id, *verdict);
    };
    hooks.on_body = [body](std::string_view bytes) {
        *body += bytes;
    };
    auto options = http1::call_options();
    options.connect_limit = connect_limit;
    auto request = adapter::encode_stage_call(call.engine.address,
                                              call.engine.id, call.items);
    auto limit =
        std::make_shared<event::timer>(this->owner, [this, part, call]() {
            auto* service = this->find(part);
            if (service == nullptr) {
                return;
            }
            const auto open = service->calls.find(call.id);
            if (open != service->calls.end()) {
                open->second->cancel();
                this->on_call_done(part, call, {}, "",
                                   std::make_error_code(std::errc::timed_out));
            }
        });
    limit->start(longest_call);
    hooks.on_done = [this, part, call, body, verdict,
                     limit](std::error_code error, bool) {
        limit->stop();
        this->on_call_done(part, call, *verdict, *body, error);
    };
    this->parts[part]->calls[call.id] =
        this->pool.call({call.engine.id.str(), call.engine.address},
                        std::move(request), options, std::move(hooks));
}

auto stage_dispatcher::heed_answer(const core::upstream_id& upstream,
                                   const serving::upstream_verdict& verdict)
    -> void
{
    if (verdict.hold_off.count() > 0) {
        const auto until = this->owner.now() + verdict.hold_off;
        for (auto& [part, service] : this->parts) {
            service->queue.hold_off(upstream, until);
        }
    }
    this->heed(upstream, verdict);
}

auto stage_dispatcher::on_call_done(const dispatch::shard& part,
                                    const dispatch::stage_call& call,
                                    const serving::upstream_verdict& verdict,
                                    const std::string& body,
                                    std::error_code error) -> void
{
    const auto found = this->parts.find(part);
    if (found == this->parts.end()) {
        return;
    }
    auto& service = *found->second;
    service.calls.erase(call.id);
    const auto now = this->owner.now();
    constexpr auto ok_status = 200;
    if (!error && verdict.status == ok_status) {
        if (const auto results =
                adapter::decode_stage_results(body, call.items.size())) {
            this->apply(
                part, service,
                service.queue.on_results(call.id, results.value(), now));
            this->schedule();
            return;
        }
    }
    this->log.write(severity::failure, "stage_call_failed",
                    {{"service", part.service.str()},
                     {"upstream", call.engine.id.str()},
                     {"pieces", std::to_string(call.items.size())},
                     {"status", std::to_string(verdict.status)},
                     {"error", error ? error.message() : "none"}});
    constexpr auto full_status = 503;
    this->apply(part, service,
                service.queue.on_call_failed(
                    call.id, !error && verdict.status == full_status, now));
    this->schedule();
}

auto stage_dispatcher::apply(const dispatch::shard& part,
                             stage_service& service,
                             const dispatch::stage_effects& effects) -> void
{
    if (!effects.unwanted.empty()) {
        this->free_results(part.service, effects.unwanted);
    }
    for (const auto& outcome : effects.outcomes) {
        const auto found = service.waiting.find(outcome.ticket);
        if (found == service.waiting.end()) {
            continue;
        }
        const auto work = std::move(found->second);
        service.waiting.erase(found);
        this->log_outcome(part, service, work, outcome);
        work.done(outcome);
    }
}

auto stage_dispatcher::log_outcome(const dispatch::shard& part,
                                   const stage_service& service,
                                   const waiting_work& work,
                                   const dispatch::stage_outcome& outcome)
    -> void
{
    const auto now = this->owner.now();
    const auto is_done = outcome.status == dispatch::stage_status::done;
    this->metrics.record_stage(part.service, text_of(outcome.status),
                               now - work.submitted);
    this->log.write(
        is_done ? severity::detail : severity::failure,
        is_done ? "stage_done" : "stage_refused",
        {{"request", work.request.str()},
         {"service", part.service.str()},
         {"zone", part.zone.str()},
         {"reason", text_of(outcome.status)},
         {"waited_ms", ms_text(now - work.submitted)},
         {"left_ms", ms_text(work.deadline - now)},
         {"queue_ms", ms_text(service.queue.estimated_wait(now))},
         {"pieces_waiting", std::to_string(service.queue.waiting_pieces())},
         {"upstreams", std::to_string(this->known.usable(part).size())}});
}

auto stage_dispatcher::add_loads(
    std::map<serving::service_name, service_load>& loads) const -> void
{
    for (const auto& [part, service] : this->parts) {
        auto& load = loads[part.service];
        load.service = part.service;
        load.stage_pieces_waiting += service->queue.waiting_pieces();
        load.stage_wait = std::max(
            load.stage_wait, service->queue.estimated_wait(this->owner.now()));
    }
}

auto stage_dispatcher::free_results(const serving::service_name& name,
                                    const std::vector<std::string>& handles)
    -> void
{
    auto by_holder = std::map<core::endpoint, std::vector<std::string>>();
    for (const auto& handle : handles) {
        if (const auto holder = adapter::result_holder(handle)) {
            by_holder[*holder].push_back(handle);
        }
    }
    for (const auto& [id, upstream] : this->known.upstreams()) {
        const auto held = by_holder.find(upstream.upstream.address);
        if (held == by_holder.end() || upstream.upstream.service != name) {
            continue;
        }
        if (!this->known.may_send(id, this->owner.now())) {
            // The upstream frees the results when their lifetime ends.
            by_holder.erase(held);
            continue;
        }
        const auto service = this->parts.find(
            this->known.shard_for(name, upstream.upstream.zone));
        if (service != this->parts.end()) {
            for (const auto& handle : held->second) {
                service->second->queue.on_freed(handle);
            }
        }
        auto hooks = http1::pool_hooks();
        hooks.on_head = [this, holder = id](const http1::response_head& head) {
            this->heed_answer(holder, adapter::decode_verdict(head));
        };
        hooks.on_done = [this, name](std::error_code error, bool) {
            if (error) {
                // The upstream frees the results when their lifetime ends.
                this->log.write(
                    severity::notice, "free_failed",
                    {{"service", name.str()}, {"error", error.message()}});
            }
        };
        auto options = http1::call_options();
        options.connect_limit = connect_limit;
        options.longest = longest_call;
        this->pool.call(
            {id.str(), held->first},
            adapter::encode_free_call(held->first, id, held->second), options,
            std::move(hooks));
        by_holder.erase(held);
    }
    this->schedule();
}

} // namespace almondtiller::gateway
