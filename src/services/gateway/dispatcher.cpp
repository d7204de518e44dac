#include "services/gateway/dispatcher.h"

#include "platform/stage_calls.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Time between checks of what waits: cold windows, overdue calls, expiry.
constexpr auto tick_interval = core::milliseconds(40);
/// A stage call that took that long is closed.
constexpr auto longest_call = core::milliseconds(5000);
constexpr auto connect_limit = core::milliseconds(300);
constexpr auto failure_status = 0;

} // namespace

struct dispatcher::stage_service
{
    dispatch::stage_queue queue;
    std::map<std::uint64_t, stage_done> waiting;
    std::map<std::uint64_t, std::shared_ptr<http1::pooled_call>> calls;
};

struct dispatcher::placed_service
{
    dispatch::placement places;
    struct entry
    {
        std::uint64_t ticket = 0;
        core::node_id origin;
        place_done done;
    };
    std::map<core::request_id, entry> entries;
    std::map<std::uint64_t, core::request_id> requests;
};

dispatcher::dispatcher(event::loop& loop, const dispatch::serving_state& state,
                       http1::client_pool& calls, event_log& lines,
                       dispatch::placement_limits bounds)
    : owner(loop),
      known(state),
      pool(calls),
      log(lines),
      limits(bounds),
      ticker(loop, [this]() { this->pump(); })
{}

auto dispatcher::stage(const serving::service_name& name) -> stage_service*
{
    const auto found = this->stages.find(name);
    if (found != this->stages.end()) {
        return found->second.get();
    }
    const auto* spec = this->known.config()
                           ? this->known.config()->find_service(name)
                           : nullptr;
    if (spec == nullptr || !spec->stages) {
        return nullptr;
    }
    auto made = std::make_shared<stage_service>(
        stage_service{dispatch::stage_queue(*spec->stages), {}, {}});
    auto* result = made.get();
    this->stages[name] = std::move(made);
    this->refresh();
    return result;
}

auto dispatcher::placed(const serving::service_name& name) -> placed_service*
{
    const auto found = this->placements.find(name);
    if (found != this->placements.end()) {
        return found->second.get();
    }
    const auto* spec = this->known.config()
                           ? this->known.config()->find_service(name)
                           : nullptr;
    if (spec == nullptr) {
        return nullptr;
    }
    auto made = std::make_shared<placed_service>(
        placed_service{dispatch::placement(*spec, this->limits), {}, {}});
    auto* result = made.get();
    this->placements[name] = std::move(made);
    this->refresh();
    return result;
}

auto dispatcher::refresh() -> void
{
    const auto& config = this->known.config();
    for (auto& [name, service] : this->stages) {
        const auto* spec = config ? config->find_service(name) : nullptr;
        if (spec != nullptr && spec->stages) {
            service->queue.set_pool(*spec->stages);
        }
        auto engines = std::vector<dispatch::stage_engine>();
        for (const auto& upstream : this->known.usable(name)) {
            engines.push_back({upstream.upstream.id, upstream.upstream.address,
                               upstream.upstream.zone});
        }
        service->queue.set_engines(engines);
    }
    for (auto& [name, service] : this->placements) {
        if (const auto* spec = config ? config->find_service(name) : nullptr) {
            service->places.set_service(*spec);
        }
        service->places.set_upstreams(this->known.usable(name));
    }
    this->schedule();
}

auto dispatcher::schedule() -> void
{
    if (!std::exchange(this->is_scheduled, true)) {
        this->owner.post([this]() { this->pump(); });
    }
}

auto dispatcher::pump() -> void
{
    this->is_scheduled = false;
    auto is_waiting = false;
    // Callbacks may add services.
    const auto stage_services = this->stages;
    for (const auto& [name, service] : stage_services) {
        this->pump_stages(name, *service);
        is_waiting =
            is_waiting || !service->waiting.empty() || !service->calls.empty();
    }
    const auto placed_services = this->placements;
    for (const auto& [name, service] : placed_services) {
        this->pump_placements(*service);
        is_waiting = is_waiting || service->places.waiting() > 0;
    }
    if (is_waiting) {
        this->ticker.start(tick_interval);
    }
}

auto dispatcher::pump_stages(const serving::service_name& name,
                             stage_service& service) -> void
{
    this->apply(name, service, service.queue.on_time(this->owner.now()));
    while (auto call = service.queue.next_call(this->owner.now())) {
        this->send_call(name, *call);
    }
}

auto dispatcher::submit_stage(const serving::service_name& name,
                              dispatch::stage_work work, stage_done done)
    -> std::uint64_t
{
    auto* service = this->stage(name);
    const auto ticket = ++this->last_ticket;
    work.ticket = ticket;
    if (service == nullptr) {
        auto failure = dispatch::stage_outcome();
        failure.status = dispatch::stage_status::failed;
        done(failure);
        return 0;
    }
    if (const auto refusal =
            service->queue.submit(std::move(work), this->owner.now())) {
        done(*refusal);
        return 0;
    }
    service->waiting[ticket] = std::move(done);
    this->schedule();
    return ticket;
}

auto dispatcher::cancel_stage(const serving::service_name& name,
                              std::uint64_t ticket) -> void
{
    const auto found = this->stages.find(name);
    if (found != this->stages.end()) {
        found->second->waiting.erase(ticket);
        this->apply(name, *found->second, found->second->queue.cancel(ticket));
    }
}

auto dispatcher::send_call(const serving::service_name& name,
                           const dispatch::stage_call& call) -> void
{
    auto body = std::make_shared<std::string>();
    auto status = std::make_shared<int>(failure_status);
    auto hooks = http1::pool_hooks();
    hooks.on_head = [status](const http1::response_head& head) {
        *status = head.status;
    };
    hooks.on_body = [body](std::string_view bytes) {
        *body += bytes;
    };
    auto options = http1::call_options();
    options.connect_limit = connect_limit;
    auto request = adapter::encode_stage_call(call.engine.address,
                                              call.engine.id, call.items);
    auto limit =
        std::make_shared<event::timer>(this->owner, [this, name, call]() {
            auto* service = this->stage(name);
            if (service == nullptr) {
                return;
            }
            const auto open = service->calls.find(call.id);
            if (open != service->calls.end()) {
                open->second->cancel();
                this->on_call_done(name, call, failure_status, "",
                                   std::make_error_code(std::errc::timed_out));
            }
        });
    limit->start(longest_call);
    hooks.on_done = [this, name, call, body, status,
                     limit](std::error_code error, bool) {
        limit->stop();
        this->on_call_done(name, call, *status, *body, error);
    };
    this->stages[name]->calls[call.id] =
        this->pool.call({call.engine.id.str(), call.engine.address},
                        std::move(request), options, std::move(hooks));
}

auto dispatcher::on_call_done(const serving::service_name& name,
                              const dispatch::stage_call& call, int status,
                              const std::string& body, std::error_code error)
    -> void
{
    const auto found = this->stages.find(name);
    if (found == this->stages.end()) {
        return;
    }
    auto& service = *found->second;
    service.calls.erase(call.id);
    const auto now = this->owner.now();
    constexpr auto ok_status = 200;
    if (!error && status == ok_status) {
        if (const auto results =
                adapter::decode_stage_results(body, call.items.size())) {
            this->apply(
                name, service,
                service.queue.on_results(call.id, results.value(), now));
            this->schedule();
            return;
        }
    }
    this->log.write(severity::failure, "stage_call_failed",
                    {{"service", name.str()},
                     {"upstream", call.engine.id.str()},
                     {"pieces", std::to_string(call.items.size())},
                     {"status", std::to_string(status)},
                     {"error", error ? error.message() : "none"}});
    constexpr auto full_status = 503;
    this->apply(name, service,
                service.queue.on_call_failed(
                    call.id, !error && status == full_status, now));
    this->schedule();
}

auto dispatcher::apply(const serving::service_name& name,
                       stage_service& service,
                       const dispatch::stage_effects& effects) -> void
{
    if (!effects.unwanted.empty()) {
        this->free_results(name, effects.unwanted);
    }
    for (const auto& outcome : effects.outcomes) {
        const auto found = service.waiting.find(outcome.ticket);
        if (found == service.waiting.end()) {
            continue;
        }
        const auto done = std::move(found->second);
        service.waiting.erase(found);
        done(outcome);
    }
}

auto dispatcher::free_results(const serving::service_name& name,
                              const std::vector<std::string>& handles) -> void
{
    auto by_holder = std::map<core::endpoint, std::vector<std::string>>();
    const auto service = this->stages.find(name);
    for (const auto& handle : handles) {
        if (service != this->stages.end()) {
            service->second->queue.on_freed(handle);
        }
        if (const auto holder = adapter::result_holder(handle)) {
            by_holder[*holder].push_back(handle);
        }
    }
    for (const auto& [id, upstream] : this->known.upstreams()) {
        const auto held = by_holder.find(upstream.upstream.address);
        if (held == by_holder.end() || upstream.upstream.service != name) {
            continue;
        }
        auto hooks = http1::pool_hooks();
        hooks.on_done = [this, name](std::error_code error, bool) {
            if (error) {
                // The result then goes with its own lifetime.
                this->log.write(
                    severity::notice, "free_failed",
                    {{"service", name.str()}, {"error", error.message()}});
            }
        };
        auto options = http1::call_options();
        options.connect_limit = connect_limit;
        this->pool.call(
            {id.str(), held->first},
            adapter::encode_free_call(held->first, id, held->second), options,
            std::move(hooks));
        by_holder.erase(held);
    }
    this->schedule();
}

auto dispatcher::submit_placement(place_message message,
                                  const core::node_id& origin, place_done done)
    -> void
{
    auto* service = this->placed(message.service);
    if (service == nullptr) {
        auto refusal = dispatch::placement_outcome();
        refusal.status = dispatch::placement_status::refused;
        refusal.retry_after = core::milliseconds(500);
        done(refusal);
        return;
    }
    this->end_placement(*service, message.request.request,
                        dispatch::work_end::given_up);
    const auto ticket = ++this->last_ticket;
    message.request.ticket = ticket;
    service->requests[ticket] = message.request.request;
    if (!message.placed_at.empty()) {
        service->entries[message.request.request] = {ticket, origin, nullptr};
        service->places.adopt(message.request, message.placed_at,
                              this->owner.now());
        auto accepted = dispatch::placement_outcome();
        accepted.upstream.id = message.placed_at;
        done(accepted);
        return;
    }
    service->entries[message.request.request] = {ticket, origin,
                                                 std::move(done)};
    service->places.submit(std::move(message.request), this->owner.now());
    this->schedule();
}

auto dispatcher::pump_placements(placed_service& service) -> void
{
    for (const auto& outcome : service.places.next(this->owner.now())) {
        const auto request = service.requests.find(outcome.ticket);
        if (request == service.requests.end()) {
            continue;
        }
        auto& entry = service.entries[request->second];
        const auto done = std::exchange(entry.done, nullptr);
        if (outcome.status != dispatch::placement_status::granted) {
            service.entries.erase(request->second);
            service.requests.erase(request);
        }
        if (done) {
            done(outcome);
        }
    }
}

auto dispatcher::end_placement(placed_service& service,
                               const core::request_id& request,
                               dispatch::work_end how) -> void
{
    const auto found = service.entries.find(request);
    if (found == service.entries.end()) {
        return;
    }
    service.places.cancel(found->second.ticket);
    service.places.on_ended(found->second.ticket, how, this->owner.now());
    service.requests.erase(found->second.ticket);
    service.entries.erase(found);
}

auto dispatcher::cancel_placement(const serving::service_name& name,
                                  const core::request_id& request) -> void
{
    const auto found = this->placements.find(name);
    if (found != this->placements.end()) {
        this->end_placement(*found->second, request,
                            dispatch::work_end::given_up);
    }
}

auto dispatcher::report(const report_message& message) -> void
{
    const auto found = this->placements.find(message.service);
    if (found == this->placements.end()) {
        return;
    }
    auto& service = *found->second;
    const auto entry = service.entries.find(message.request);
    if (entry == service.entries.end()) {
        return;
    }
    if (message.is_started) {
        service.places.on_started(entry->second.ticket, this->owner.now());
    }
    if (message.is_ended) {
        this->end_placement(service, message.request, message.how);
    }
    if (service.places.waiting() > 0) {
        this->schedule();
    }
}

auto dispatcher::drop_origin(const core::node_id& origin) -> void
{
    for (auto& [name, service] : this->placements) {
        auto lost = std::vector<core::request_id>();
        for (const auto& [request, entry] : service->entries) {
            if (entry.origin == origin) {
                lost.push_back(request);
            }
        }
        for (const auto& request : lost) {
            this->end_placement(*service, request,
                                dispatch::work_end::given_up);
        }
    }
}

} // namespace almondtiller::gateway
