#include "services/gateway/rollout_link.h"

#include "services/gateway/stage_dispatcher.h"

namespace almondtiller::gateway {

namespace {

/// The answers to stage calls are counted together, under this name.
constexpr auto stage_route = "stage";

} // namespace

auto make_version_rules(rollout::rollout_service* rollouts,
                        const serving::service_name& service)
    -> dispatch::version_rules
{
    if (rollouts == nullptr) {
        return {};
    }
    return {[rollouts, service](core::time_point now) {
                return rollouts->rules(service, now);
            },
            [rollouts, service](const core::upstream_id& upstream,
                                core::time_point now) {
                rollouts->record_given(service, upstream, now);
            }};
}

auto stage_dispatcher::set_rollouts(rollout::rollout_service* source) -> void
{
    this->rollouts = source;
}

auto stage_dispatcher::held_results(const serving::service_name& service,
                                    const dispatch::upstream_rule& rule) const
    -> std::size_t
{
    auto total = std::size_t(0);
    for (const auto& [shard_key, shard_state] : this->owned_shards) {
        if (shard_key.service == service) {
            total +=
                shard_state->queue.held_results(rule, this->event_loop.now());
        }
    }
    return total;
}

auto stage_dispatcher::open_record(stage_shard& shard_state,
                                   const dispatch::stage_call& call) -> void
{
    if (this->rollouts != nullptr) {
        shard_state.records[call.id] =
            this->rollouts->begin(call.upstream.id, stage_route);
    }
}

auto stage_dispatcher::close_record(stage_shard& shard_state,
                                    const dispatch::stage_call& call,
                                    const call_answer& answer,
                                    std::error_code error) -> void
{
    const auto found = shard_state.records.find(call.id);
    if (found == shard_state.records.end()) {
        return;
    }
    const auto record = found->second;
    shard_state.records.erase(found);
    // An upstream that is full answers 503 and has not run the call.
    constexpr auto overload_status = 503;
    const auto status = answer.verdict.status;
    if (record == nullptr) {
        return;
    }
    if (error == std::errc::timed_out) {
        record->on_given_up(this->event_loop.now());
    } else if (!error && !answer.verdict.not_run && status != overload_status) {
        record->on_answer(status, this->event_loop.now());
    }
}

} // namespace almondtiller::gateway
