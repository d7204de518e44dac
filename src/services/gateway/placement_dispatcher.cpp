#include "services/gateway/placement_dispatcher.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Retry delay if the service isn't configured at this node. Within this time a
/// configuration is in force at all nodes.
constexpr auto unknown_service_retry = core::milliseconds(500);

} // namespace

placement_dispatcher::placement_dispatcher(event::loop& loop,
                                           const dispatch::serving_state& state,
                                           event_log& lines,
                                           dispatch::placement_limits bounds,
                                           std::function<void()> ask_for_pump)
    : owner(loop),
      known(state),
      log(lines),
      limits(bounds),
      schedule(std::move(ask_for_pump))
{}

auto placement_dispatcher::find(const dispatch::shard& part) -> placed_service*
{
    const auto found = this->parts.find(part);
    if (found != this->parts.end()) {
        return found->second.get();
    }
    const auto* spec = this->known.find_service(part.service);
    if (spec == nullptr) {
        return nullptr;
    }
    auto made = std::make_shared<placed_service>(
        placed_service{dispatch::placement(*spec, this->limits), {}, {}});
    auto* result = made.get();
    this->parts[part] = std::move(made);
    this->refresh();
    return result;
}

auto placement_dispatcher::find(const serving::service_name& service,
                                const core::request_id& request)
    -> part_map::iterator
{
    return std::find_if(this->parts.begin(), this->parts.end(),
                        [&](const auto& item) {
                            return item.first.service == service &&
                                   item.second->entries.contains(request);
                        });
}

auto placement_dispatcher::refresh() -> void
{
    for (auto& [part, service] : this->parts) {
        if (const auto* spec = this->known.find_service(part.service)) {
            service->places.set_service(*spec);
        }
        // The retry budget of a service is divided among its shards.
        const auto shards =
            part.zone.empty() ? 1 : this->known.shards_of(part.service).size();
        service->places.set_retry_extra(
            this->limits.retry_extra /
            double(std::max<std::size_t>(shards, 1)));
        service->places.set_upstreams(this->known.usable(part));
    }
}

auto placement_dispatcher::pump() -> bool
{
    auto is_waiting = false;
    // A copy, because callbacks may add shards.
    const auto current = this->parts;
    for (const auto& [part, service] : current) {
        this->pump(part, *service);
        is_waiting = is_waiting || service->places.waiting() > 0;
    }
    return is_waiting;
}

auto placement_dispatcher::submit(place_message message, std::uint64_t ticket,
                                  const core::node_id& origin, place_done done)
    -> void
{
    auto* service = this->find(
        this->known.shard_for(message.service, message.request.zone));
    if (service == nullptr) {
        auto refusal = dispatch::placement_outcome();
        refusal.status = dispatch::placement_status::refused;
        refusal.retry_after = unknown_service_retry;
        done(refusal);
        return;
    }
    const auto& request = message.request.request;
    this->end(*service, request, dispatch::work_end::given_up);
    message.request.ticket = ticket;
    service->requests[ticket] = request;
    auto& made = service->entries[request];
    made.ticket = ticket;
    made.origin = origin;
    made.submitted = this->owner.now();
    made.deadline = message.request.deadline;
    if (!message.placed_at.empty()) {
        service->places.adopt(message.request, message.placed_at,
                              this->owner.now());
        auto accepted = dispatch::placement_outcome();
        accepted.upstream.id = message.placed_at;
        done(accepted);
        return;
    }
    made.done = std::move(done);
    service->places.submit(std::move(message.request), this->owner.now());
    this->schedule();
}

auto placement_dispatcher::pump(const dispatch::shard& part,
                                placed_service& service) -> void
{
    for (const auto& outcome : service.places.next(this->owner.now())) {
        const auto request = service.requests.find(outcome.ticket);
        if (request == service.requests.end()) {
            continue;
        }
        auto& decided = service.entries[request->second];
        const auto done = std::exchange(decided.done, nullptr);
        if (outcome.status != dispatch::placement_status::granted) {
            this->log_refusal(part, service, request->second, decided,
                              outcome.status);
            service.entries.erase(request->second);
            service.requests.erase(request);
        }
        if (done) {
            done(outcome);
        }
    }
}

auto placement_dispatcher::log_refusal(const dispatch::shard& part,
                                       const placed_service& service,
                                       const core::request_id& request,
                                       const entry& refused,
                                       dispatch::placement_status status)
    -> void
{
    const auto now = this->owner.now();
    const auto is_budget = status == dispatch::placement_status::out_of_budget;
    this->log.write(
        severity::failure, "placement_refused",
        {{"request", request.str()},
         {"service", part.service.str()},
         {"zone", part.zone.str()},
         {"reason", is_budget ? "repeat_budget_spent" : "no_room_in_time"},
         {"waited_ms", ms_text(now - refused.submitted)},
         {"left_ms", ms_text(refused.deadline - now)},
         {"waiting", std::to_string(service.places.waiting())},
         {"running", std::to_string(service.requests.size())},
         {"upstreams", std::to_string(this->known.usable(part).size())},
         {"prefill_tokens_per_ms",
          std::to_string(service.places.speed().tokens_per_ms())},
         {"prefill_samples",
          std::to_string(service.places.speed().samples())}});
}

auto placement_dispatcher::end(placed_service& service,
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

auto placement_dispatcher::cancel(const serving::service_name& name,
                                  const core::request_id& request) -> void
{
    const auto found = this->find(name, request);
    if (found != this->parts.end()) {
        this->end(*found->second, request, dispatch::work_end::given_up);
    }
}

auto placement_dispatcher::add_loads(
    std::map<serving::service_name, service_load>& loads) const -> void
{
    for (const auto& [part, service] : this->parts) {
        auto& load = loads[part.service];
        load.service = part.service;
        load.placements_waiting += service->places.waiting();
        load.requests_running += service->requests.size();
    }
}

auto placement_dispatcher::report(const report_message& message) -> void
{
    const auto found = this->find(message.service, message.request);
    if (found == this->parts.end()) {
        return;
    }
    auto& service = *found->second;
    const auto ticket = service.entries[message.request].ticket;
    if (message.is_started) {
        service.places.on_started(ticket, this->owner.now());
    }
    if (message.is_ended) {
        this->end(service, message.request, message.how);
    }
    if (service.places.waiting() > 0) {
        this->schedule();
    }
}

auto placement_dispatcher::drop_origin(const core::node_id& origin) -> void
{
    for (auto& [part, service] : this->parts) {
        auto lost = std::vector<core::request_id>();
        for (const auto& [request, entry] : service->entries) {
            if (entry.origin == origin) {
                lost.push_back(request);
            }
        }
        for (const auto& request : lost) {
            this->end(*service, request, dispatch::work_end::given_up);
        }
    }
}

} // namespace almondtiller::gateway
