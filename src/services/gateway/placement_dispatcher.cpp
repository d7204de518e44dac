#include "services/gateway/placement_dispatcher.h"

#include "services/gateway/rollout_link.h"
#include "services/gateway/share_fields.h"
#include "services/gateway/speed_log.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Retry delay if the service isn't configured at this node. Within this time a
/// configuration is in force at all nodes.
constexpr auto unknown_service_retry = core::milliseconds(500);

/// \return The reason in the log line of a rejection.
auto reason_of(dispatch::placement_status status) -> std::string
{
    switch (status) {
    case dispatch::placement_status::retry_budget_exhausted:
        return "repeat_budget_spent";
    case dispatch::placement_status::too_large:
        return "request_too_large";
    default:
        return "no_room_in_time";
    }
}

} // namespace

placement_dispatcher::placement_dispatcher(
    event::loop& loop, const dispatch::serving_state& state, event_log& logger,
    flow_metrics& counters, dispatch::placement_limits bounds,
    dispatch::upstream_source usable, std::function<void()> request_pump)
    : event_loop(loop),
      serving_state(state),
      log(logger),
      metrics(counters),
      limits(bounds),
      usable_upstreams(std::move(usable)),
      schedule_pump(std::move(request_pump))
{}

auto placement_dispatcher::find(const dispatch::shard& shard_key)
    -> placement_shard*
{
    const auto found = this->owned_shards.find(shard_key);
    if (found != this->owned_shards.end()) {
        return found->second.get();
    }
    const auto* spec = this->serving_state.find_service(shard_key.service);
    if (spec == nullptr) {
        return nullptr;
    }
    auto created = std::make_shared<placement_shard>(
        placement_shard{dispatch::placement(*spec, this->limits), {}, {}});
    auto* result = created.get();
    if (this->uses_speeds) {
        result->scheduler.upstream_speeds().enable();
    }
    result->scheduler.set_version_rules(
        make_version_rules(this->rollouts, shard_key.service));
    this->owned_shards[shard_key] = std::move(created);
    this->refresh();
    return result;
}

auto placement_dispatcher::find(const serving::service_name& service,
                                const core::request_id& request)
    -> shard_map::iterator
{
    return std::find_if(this->owned_shards.begin(), this->owned_shards.end(),
                        [&](const auto& item) {
                            return item.first.service == service &&
                                   item.second->entries.contains(request);
                        });
}

auto placement_dispatcher::set_rollouts(rollout::rollout_service* source)
    -> void
{
    this->rollouts = source;
}

auto placement_dispatcher::refresh() -> void
{
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        if (const auto* spec =
                this->serving_state.find_service(shard_key.service)) {
            shard_state->scheduler.set_service(*spec);
        }
        // The retry budget of a service is divided among its shards.
        const auto shard_count =
            shard_key.zone.empty()
                ? 1
                : this->serving_state.shards_of(shard_key.service).size();
        shard_state->scheduler.set_retry_allowance(
            this->limits.retry_allowance /
            double(std::max<std::size_t>(shard_count, 1)));
        shard_state->scheduler.set_upstreams(this->usable_upstreams(shard_key),
                                             this->event_loop.now());
    }
}

auto placement_dispatcher::pump() -> bool
{
    auto is_waiting = false;
    // A copy, because callbacks may add shards.
    const auto current = this->owned_shards;
    for (const auto& [shard_key, shard_state] : current) {
        this->pump(shard_key, *shard_state);
        is_waiting = is_waiting || shard_state->scheduler.waiting() > 0;
    }
    return is_waiting;
}

auto placement_dispatcher::submit(place_message message, std::uint64_t ticket,
                                  const core::node_id& origin, place_done done)
    -> void
{
    auto* shard_state = this->find(
        this->serving_state.shard_for(message.service, message.request.zone));
    if (shard_state == nullptr) {
        auto rejection = dispatch::placement_outcome();
        rejection.status = dispatch::placement_status::rejected;
        rejection.retry_after = unknown_service_retry;
        done(rejection);
        return;
    }
    const auto& request = message.request.request;
    const auto earlier = this->find(message.service, request);
    if (earlier != this->owned_shards.end()) {
        auto& known = earlier->second->entries[request];
        if (known.done && !message.placed_at.empty()) {
            // Another upstream is being sought for the announced attempt.
            auto accepted = dispatch::placement_outcome();
            accepted.upstream.id = message.placed_at;
            done(accepted);
            return;
        }
        // The upstream of an attempt that is retried before it has ended does
        // not respond.
        const auto is_silent =
            message.request.is_retry && message.placed_at.empty();
        this->end(*earlier->second, request,
                  is_silent ? dispatch::attempt_end::failed
                            : dispatch::attempt_end::cancelled);
    }
    message.request.ticket = ticket;
    shard_state->requests[ticket] = request;
    auto& created = shard_state->entries[request];
    created.ticket = ticket;
    created.origin = origin;
    created.submitted = this->event_loop.now();
    created.deadline = message.request.deadline;
    created.workspace = message.request.workspace;
    created.priority = message.request.priority;
    if (!message.placed_at.empty()) {
        shard_state->scheduler.adopt(message.request, message.placed_at,
                                     this->event_loop.now());
        auto accepted = dispatch::placement_outcome();
        accepted.upstream.id = message.placed_at;
        done(accepted);
        return;
    }
    created.done = std::move(done);
    shard_state->scheduler.submit(std::move(message.request),
                                  this->event_loop.now());
    this->schedule_pump();
}

auto placement_dispatcher::pump(const dispatch::shard& shard_key,
                                placement_shard& shard_state) -> void
{
    for (const auto& outcome :
         shard_state.scheduler.next(this->event_loop.now())) {
        const auto request = shard_state.requests.find(outcome.ticket);
        if (request == shard_state.requests.end()) {
            continue;
        }
        auto& decided = shard_state.entries[request->second];
        const auto done = std::exchange(decided.done, nullptr);
        const auto is_granted =
            outcome.status == dispatch::placement_status::granted;
        if (this->limits.has_fair_sharing) {
            this->metrics.record_workspace(
                decided.workspace, is_granted ? "placed" : "refused",
                this->event_loop.now() - decided.submitted);
        }
        if (!is_granted) {
            this->log_rejection(shard_key, shard_state, request->second,
                                decided, outcome);
            shard_state.entries.erase(request->second);
            shard_state.requests.erase(request);
        }
        if (done) {
            done(outcome);
        }
    }
}

auto placement_dispatcher::log_rejection(
    const dispatch::shard& shard_key, const placement_shard& shard_state,
    const core::request_id& request, const entry& rejected,
    const dispatch::placement_outcome& outcome) -> void
{
    const auto now = this->event_loop.now();
    const auto share = describe(shard_state.scheduler.share_of(
        rejected.workspace, rejected.priority, now));
    const auto upstreams = this->serving_state.usable(shard_key);
    const auto limited = std::count_if(
        upstreams.begin(), upstreams.end(),
        [](const auto& known) { return known.request_limit.has_value(); });
    this->log.write(
        severity::failure, "placement_refused",
        {{"request", request.str()},
         {"service", shard_key.service.str()},
         {"zone", shard_key.zone.str()},
         {"reason", reason_of(outcome.status)},
         {"waited_ms", ms_text(now - rejected.submitted)},
         {"left_ms", ms_text(rejected.deadline - now)},
         {"retry_after_ms", ms_text(outcome.retry_after)},
         {"workspace", rejected.workspace.str()},
         {"priority", std::to_string(rejected.priority)},
         {"share", share.share},
         {"entitled", share.entitled},
         {"workspace_waiting", share.waiting},
         {"waiting", std::to_string(shard_state.scheduler.waiting())},
         {"running", std::to_string(shard_state.requests.size())},
         {"upstreams", std::to_string(upstreams.size())},
         {"limited", std::to_string(limited)},
         {"prefill_tokens_per_ms",
          std::to_string(shard_state.scheduler.speed().tokens_per_ms())},
         {"prefill_samples",
          std::to_string(shard_state.scheduler.speed().samples())}});
}

auto placement_dispatcher::end(placement_shard& shard_state,
                               const core::request_id& request,
                               dispatch::attempt_end how) -> void
{
    const auto found = shard_state.entries.find(request);
    if (found == shard_state.entries.end()) {
        return;
    }
    shard_state.scheduler.cancel(found->second.ticket);
    shard_state.scheduler.on_ended(found->second.ticket, how,
                                   this->event_loop.now());
    shard_state.requests.erase(found->second.ticket);
    shard_state.entries.erase(found);
}

auto placement_dispatcher::cancel(const serving::service_name& name,
                                  const core::request_id& request) -> void
{
    const auto found = this->find(name, request);
    if (found != this->owned_shards.end()) {
        this->end(*found->second, request, dispatch::attempt_end::cancelled);
    }
}

auto placement_dispatcher::add_loads(
    std::map<serving::service_name, service_load>& loads) const -> void
{
    for (const auto& [shard_key, shard_state] : this->owned_shards) {
        auto& load = loads[shard_key.service];
        load.service = shard_key.service;
        load.placements_waiting += shard_state->scheduler.waiting();
        load.requests_running += shard_state->requests.size();
        add_speeds(load, shard_state->scheduler.upstream_speeds(),
                   this->event_loop.now());
    }
}

auto placement_dispatcher::report(const report_message& message) -> void
{
    const auto found = this->find(message.service, message.request);
    if (found == this->owned_shards.end()) {
        return;
    }
    auto& shard_state = *found->second;
    const auto ticket = shard_state.entries[message.request].ticket;
    if (message.is_started) {
        shard_state.scheduler.on_started(ticket, this->event_loop.now());
    }
    if (message.event_time) {
        shard_state.scheduler.on_event_time(ticket, *message.event_time,
                                            this->event_loop.now());
    }
    log_speed_changes(this->log, found->first,
                      shard_state.scheduler.upstream_speeds());
    if (message.is_ended) {
        this->end(shard_state, message.request, message.how);
    }
    if (shard_state.scheduler.waiting() > 0) {
        this->schedule_pump();
    }
}

auto placement_dispatcher::enable_speeds() -> void
{
    if (std::exchange(this->uses_speeds, true)) {
        return;
    }
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        shard_state->scheduler.upstream_speeds().enable();
    }
}

auto placement_dispatcher::record_speed(const serving::service_name& service,
                                        const speed_report& speed) -> void
{
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        if (shard_key.service == service) {
            auto& speeds = shard_state->scheduler.upstream_speeds();
            speeds.state(speed.upstream, speed.stated, this->event_loop.now());
            log_speed_changes(this->log, shard_key, speeds);
        }
    }
}

auto placement_dispatcher::cancel_work_of(const core::node_id& origin) -> void
{
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        auto lost = std::vector<core::request_id>();
        for (const auto& [request, entry] : shard_state->entries) {
            if (entry.origin == origin) {
                lost.push_back(request);
            }
        }
        for (const auto& request : lost) {
            this->end(*shard_state, request, dispatch::attempt_end::cancelled);
        }
    }
}

} // namespace almondtiller::gateway
