#include "services/gateway/dispatch_client.h"

#include "routing/rendezvous.h"
#include "services/gateway/peer_topics.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Time to wait for an owner's answer beyond the deadline of the work. The
/// owner ends overdue work, so it answers every message.
constexpr auto answer_timeout_margin = core::milliseconds(500);
/// Number of owners that are tried before the work stays on this node.
constexpr auto max_owner_attempts = 3;

auto timeout_until(core::time_point deadline, core::time_point now)
    -> core::milliseconds
{
    return std::max(
               std::chrono::duration_cast<core::milliseconds>(deadline - now),
               core::milliseconds(0)) +
           answer_timeout_margin;
}

} // namespace

dispatch_client::dispatch_client(event::loop& loop, core::node_id node,
                                 peer_mesh& peers,
                                 const dispatch::serving_state& state,
                                 dispatcher& own, event_log& logger)
    : event_loop(loop),
      self(std::move(node)),
      mesh(peers),
      serving_state(state),
      local(own),
      log(logger),
      report_timer(loop, [this]() { this->send_reports(); })
{}

auto dispatch_client::set_candidates(std::vector<owner_candidate> nodes) -> void
{
    if (nodes == this->candidates) {
        return;
    }
    this->candidates = std::move(nodes);
    for (auto& [request, entry] : this->placed_requests) {
        const auto& message = entry.message;
        if (entry.owner !=
            this->owner_of(message.service, message.request.zone)) {
            this->announce(entry);
        }
    }
    this->announce_recent_requests();
    this->announce_limits();
}

auto dispatch_client::owner_of(const serving::service_name& service,
                               const core::zone_name& zone) const
    -> core::node_id
{
    const auto shard = this->serving_state.shard_for(service, zone);
    const auto key =
        shard.zone.empty()
            ? routing::placement_hash(service.str())
            : routing::placement_hash(service.str() + "/" + shard.zone.str());
    auto best = this->self;
    auto best_rank = std::pair(false, std::uint64_t(0));
    for (const auto& candidate : this->candidates) {
        const auto is_in_zone =
            !shard.zone.empty() && candidate.zone == shard.zone;
        const auto weight = routing::rendezvous_weight(
            key, routing::placement_hash(candidate.node.str()));
        if (std::pair(is_in_zone, weight) > best_rank) {
            best = candidate.node;
            best_rank = {is_in_zone, weight};
        }
    }
    return best;
}

auto dispatch_client::coordinator_of(const serving::service_name& service) const
    -> core::node_id
{
    const auto key = routing::placement_hash("rollout/" + service.str());
    auto best = this->self;
    auto best_weight = std::uint64_t(0);
    for (const auto& candidate : this->candidates) {
        const auto weight = routing::rendezvous_weight(
            key, routing::placement_hash(candidate.node.str()));
        if (weight > best_weight) {
            best = candidate.node;
            best_weight = weight;
        }
    }
    return best;
}

auto dispatch_client::choose_owner(pending_work& item) -> void
{
    auto chosen = this->owner_of(item.service, item.zone);
    const auto is_lost = chosen == item.owner || !this->mesh.is_alive(chosen);
    if (item.attempts >= max_owner_attempts ||
        (chosen != this->self && item.attempts > 0 && is_lost)) {
        chosen = this->self;
    }
    ++item.attempts;
    item.owner = chosen;
}

auto dispatch_client::resubmit(std::uint64_t number) -> void
{
    const auto found = this->work.find(number);
    if (found == this->work.end()) {
        return;
    }
    this->log.write(severity::notice, "dispatch_owner_lost",
                    {{"service", found->second.service.str()},
                     {"owner", found->second.owner.str()}});
    const auto submit = found->second.submit;
    submit();
}

auto dispatch_client::start_work(const serving::service_name& service,
                                 const core::zone_name& zone,
                                 std::function<void(std::uint64_t)> submit)
    -> std::uint64_t
{
    const auto number = ++this->last_number;
    auto& item = this->work[number];
    item.service = service;
    item.zone = zone;
    item.submit = [number, submit = std::move(submit)]() {
        submit(number);
    };
    // The function is copied because the work may end and its entry be erased
    // before the call returns.
    const auto submit_copy = item.submit;
    submit_copy();
    return number;
}

auto dispatch_client::run_stage(const serving::service_name& service,
                                dispatch::stage_work stage_work,
                                dispatcher::stage_done done) -> std::uint64_t
{
    const auto zone = stage_work.zone;
    return this->start_work(service, zone,
                            [this, kept = std::move(stage_work),
                             done = std::move(done)](std::uint64_t number) {
                                this->submit_stage(number, kept, done);
                            });
}

auto dispatch_client::submit_stage(std::uint64_t number,
                                   const dispatch::stage_work& stage_work,
                                   const dispatcher::stage_done& done) -> void
{
    auto& item = this->work[number];
    this->choose_owner(item);
    const auto service = item.service;
    const auto finish = [this, number,
                         done](const dispatch::stage_outcome& outcome) {
        if (this->work.erase(number) > 0) {
            done(outcome);
        }
    };
    if (item.owner == this->self) {
        const auto ticket =
            this->local.submit_stage(service, stage_work, finish);
        const auto kept = this->work.find(number);
        if (kept != this->work.end()) {
            kept->second.cancel_action = [this, service, ticket]() {
                this->local.cancel_stage(service, ticket);
            };
        }
        return;
    }
    const auto now = this->event_loop.now();
    const auto call = this->mesh.call(
        item.owner, stage_topic, encode({service, stage_work}, now),
        timeout_until(stage_work.deadline, now),
        [this, number, finish](const core::result<std::string>& answer) {
            const auto outcome =
                answer ? decode_stage_outcome(answer.value())
                       : core::result<dispatch::stage_outcome>(answer.error());
            if (outcome) {
                finish(outcome.value());
            } else {
                this->resubmit(number);
            }
        });
    item.cancel_action = [this, call]() {
        this->mesh.cancel(call);
    };
}

auto dispatch_client::place(const serving::service_name& service,
                            dispatch::placement_request request,
                            dispatcher::place_done done) -> std::uint64_t
{
    const auto zone = request.zone;
    return this->start_work(
        service, zone,
        [this, message = place_message{service, std::move(request), {}},
         done = std::move(done)](std::uint64_t number) {
            this->submit_place(number, message, done);
        });
}

auto dispatch_client::submit_place(std::uint64_t number,
                                   const place_message& message,
                                   const dispatcher::place_done& done) -> void
{
    auto& item = this->work[number];
    this->choose_owner(item);
    const auto node = item.owner;
    const auto finish = [this, number, message, node,
                         done](const dispatch::placement_outcome& outcome) {
        const auto is_wanted = this->work.erase(number) > 0;
        if (outcome.request_limit && node != this->self && this->limit_hook) {
            this->limit_hook({outcome.upstream.id, outcome.request_limit,
                              this->event_loop.now()});
        }
        if (outcome.status == dispatch::placement_status::granted) {
            this->record_placed(message, node, outcome.upstream.id);
        }
        if (is_wanted) {
            done(outcome);
        } else {
            this->report_ended(message.service, message.request.request,
                               dispatch::attempt_end::cancelled);
        }
    };
    if (node == this->self) {
        item.cancel_action = [this, service = message.service,
                              request = message.request.request]() {
            this->local.cancel_placement(service, request);
        };
        this->local.submit_placement(message, this->self, finish);
        return;
    }
    // The owner must receive the report on an earlier attempt before the next
    // attempt. Otherwise it would apply the report to the new attempt.
    this->send_reports();
    const auto now = this->event_loop.now();
    const auto call = this->mesh.call(
        node, place_topic, encode(message, now),
        timeout_until(message.request.deadline, now),
        [this, number, finish](const core::result<std::string>& answer) {
            const auto outcome =
                answer
                    ? decode_placement_outcome(answer.value())
                    : core::result<dispatch::placement_outcome>(answer.error());
            if (outcome) {
                finish(outcome.value());
            } else {
                this->resubmit(number);
            }
        });
    item.cancel_action = [this, call]() {
        this->mesh.cancel(call);
    };
}

auto dispatch_client::cancel(std::uint64_t number) -> void
{
    const auto found = this->work.find(number);
    if (found == this->work.end()) {
        return;
    }
    const auto cancel_action = std::move(found->second.cancel_action);
    this->work.erase(found);
    if (cancel_action) {
        cancel_action();
    }
}

} // namespace almondtiller::gateway
