#include "platform/stage_calls.h"
#include "platform/upstream_messages.h"
#include "services/gateway/flow_limits.h"
#include "services/gateway/stage_dispatcher.h"

#include <utility>

namespace almondtiller::gateway {

namespace {

constexpr auto ok_status = 200;

} // namespace

auto stage_dispatcher::keep_answer(const core::upstream_id& upstream,
                                   const std::shared_ptr<call_answer>& answer)
    -> http1::pool_hooks
{
    auto hooks = http1::pool_hooks();
    hooks.on_head = [this, upstream, answer, sent_at = this->event_loop.now()](
                        const http1::response_head& head) {
        answer->verdict = adapter::decode_verdict(head);
        answer->identity = adapter::identify_response(head);
        auto unconfirmed = answer->verdict;
        unconfirmed.is_genuine = false;
        this->handle_verdict(upstream, unconfirmed, sent_at);
    };
    hooks.on_body = [answer](std::string_view bytes) {
        answer->body += bytes;
    };
    return hooks;
}

auto stage_dispatcher::confirm_verdict(const core::upstream_id& upstream,
                                       const call_answer& answer,
                                       core::time_point sent_at,
                                       std::error_code error) -> void
{
    const auto has_head = answer.verdict.status != 0;
    if (!has_head || error == http1::http1_errc::foreign_answer ||
        error == http1::http1_errc::repeated_answer) {
        return;
    }
    auto confirmed = answer.verdict;
    confirmed.hold_off = {};
    confirmed.is_leaving = false;
    this->handle_verdict(upstream, confirmed, sent_at);
}

auto stage_dispatcher::read_results(std::size_t pieces, call_answer& answer)
    -> http1::answer_identity
{
    auto identity = answer.identity;
    if (answer.verdict.status != ok_status) {
        return identity;
    }
    auto results = adapter::decode_stage_results(answer.body, pieces);
    if (!results) {
        identity.is_possible = false;
        return identity;
    }
    answer.results = std::move(results.value());
    for (const auto& result : *answer.results) {
        if (!result.handle.empty()) {
            identity.values.push_back(result.handle);
        }
    }
    return identity;
}

auto stage_dispatcher::identify_free_answer(const call_answer& answer)
    -> http1::answer_identity
{
    auto identity = answer.identity;
    if (answer.verdict.status == ok_status) {
        // Nothing is read from the answer, and other calls have a body of
        // their own.
        identity.is_interchangeable = true;
        identity.is_possible = !adapter::has_stage_results(answer.body) &&
                               !adapter::decode_free_room(answer.body);
    }
    return identity;
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
    for (const auto& [id, upstream] : this->serving_state.upstreams()) {
        const auto held_results = by_holder.find(upstream.upstream.address);
        if (held_results == by_holder.end() ||
            upstream.upstream.service != name) {
            continue;
        }
        if (!this->serving_state.may_send(id, this->event_loop.now()) ||
            this->serving_state.limits().contains(id)) {
            // The upstream frees the results when their lifetime ends.
            by_holder.erase(held_results);
            continue;
        }
        const auto shard_state = this->owned_shards.find(
            this->serving_state.shard_for(name, upstream.upstream.zone));
        if (shard_state != this->owned_shards.end()) {
            for (const auto& handle : held_results->second) {
                shard_state->second->queue.on_result_freed(handle);
            }
        }
        auto answer = std::make_shared<call_answer>();
        auto hooks = this->keep_answer(id, answer);
        hooks.identify = [answer]() {
            return identify_free_answer(*answer);
        };
        hooks.on_done =
            [this, name, holder = id, answer,
             sent_at = this->event_loop.now()](std::error_code error, bool) {
                this->confirm_verdict(holder, *answer, sent_at, error);
                if (error) {
                    // The upstream frees the results when their lifetime ends.
                    this->log.write(
                        severity::notice, "free_failed",
                        {{"service", name.str()}, {"error", error.message()}});
                }
            };
        auto options = http1::call_options();
        options.connect_limit = connect_timeout;
        options.longest = stage_call_timeout;
        this->pool.call({id.str(), held_results->first},
                        adapter::encode_free_call(held_results->first, id,
                                                  held_results->second),
                        options, std::move(hooks));
        by_holder.erase(held_results);
    }
    this->schedule_pump();
}

} // namespace almondtiller::gateway
