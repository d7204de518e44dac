#include "platform/stage_calls.h"
#include "platform/upstream_messages.h"
#include "services/gateway/flow_limits.h"
#include "services/gateway/stage_dispatcher.h"

namespace almondtiller::gateway {

namespace {

/// A report that takes longer describes a state that is over.
constexpr auto report_timeout = core::milliseconds(1000);
constexpr auto ok_status = 200;

} // namespace

auto stage_dispatcher::enable_room_reports() -> void
{
    this->uses_room_reports = true;
    for (auto& [shard_key, shard_state] : this->owned_shards) {
        shard_state->queue.enable_room_reports();
    }
}

auto stage_dispatcher::set_owner_check(
    std::function<bool(const dispatch::shard&)> check) -> void
{
    this->owner_check = std::move(check);
}

auto stage_dispatcher::identify_report(const call_answer& answer)
    -> http1::answer_identity
{
    auto identity = answer.identity;
    if (answer.verdict.status == ok_status) {
        identity.is_possible = bool(adapter::decode_free_room(answer.body));
        identity.values.push_back(answer.body);
    }
    return identity;
}

auto stage_dispatcher::request_room(const dispatch::shard& shard_key,
                                    stage_shard& shard_state) -> void
{
    // Nodes that stand in for a lost owner do so for a moment, and all of them
    // would request the reports of all upstreams at the same time.
    if (this->owner_check && !this->owner_check(shard_key)) {
        return;
    }
    const auto now = this->event_loop.now();
    for (const auto& upstream : shard_state.queue.room_requests(now)) {
        if (!this->serving_state.may_send(upstream.id, now)) {
            continue;
        }
        auto answer = std::make_shared<call_answer>();
        auto hooks = http1::pool_hooks();
        hooks.on_head = [answer](const http1::response_head& head) {
            answer->verdict = adapter::decode_verdict(head);
            answer->identity = adapter::identify_response(head);
        };
        hooks.on_body = [answer](std::string_view bytes) {
            answer->body += bytes;
        };
        hooks.identify = [answer]() {
            return identify_report(*answer);
        };
        hooks.on_done = [this, shard_key, id = upstream.id,
                         answer](std::error_code error, bool) {
            if (!error) {
                this->on_room_report(shard_key, id, *answer);
            }
        };
        auto options = http1::call_options();
        options.connect_limit = connect_timeout;
        options.longest = report_timeout;
        this->pool.call(
            {upstream.id.str(), upstream.address},
            adapter::encode_report_call(upstream.address, upstream.id), options,
            std::move(hooks));
    }
}

auto stage_dispatcher::on_room_report(const dispatch::shard& shard_key,
                                      const core::upstream_id& upstream,
                                      const call_answer& report) -> void
{
    const auto found = this->owned_shards.find(shard_key);
    const auto room = adapter::decode_free_room(report.body);
    if (found == this->owned_shards.end() ||
        report.verdict.status != ok_status || !room) {
        return;
    }
    const auto unknown = found->second->queue.on_room_reported(
        upstream, room.value(), this->event_loop.now());
    if (unknown > 0) {
        this->log.write(severity::notice, "unknown_results",
                        {{"service", shard_key.service.str()},
                         {"zone", shard_key.zone.str()},
                         {"upstream", upstream.str()},
                         {"unknown_bytes", std::to_string(unknown)},
                         {"free_bytes", std::to_string(room.value())}});
    }
    this->schedule_pump();
}

} // namespace almondtiller::gateway
