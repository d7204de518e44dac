#include "services/gateway/request_flow.h"

#include "platform/caller_messages.h"
#include "services/gateway/flow_limits.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto request_flow::end_without_answer(std::string_view reason, int status)
    -> void
{
    if (this->is_over) {
        return;
    }
    if (this->caller->is_started()) {
        this->break_off(reason);
    } else if (this->attempts > 0) {
        // The request may have run.
        this->fail(status, reason);
    } else {
        this->refuse(reason, shortest_retry);
    }
}

auto request_flow::on_time_over() -> void
{
    this->end_without_answer("time_over", gateway_timeout);
}

auto request_flow::on_caller_gone() -> void
{
    if (!this->is_over) {
        this->finish("caller_gone", severity::notice, "caller_left", 0);
    }
}

auto request_flow::refuse(std::string_view reason,
                          core::milliseconds retry_after) -> void
{
    const auto left = to_ms(this->deadline - this->shared.owner.now());
    const auto most = std::max(left / 3, shortest_retry);
    const auto jitter = 1.0 + 0.3 * this->shared.random.unit();
    const auto wait =
        core::milliseconds(std::int64_t(double(retry_after.count()) * jitter));
    const auto bounded = std::clamp(wait, shortest_retry, most);
    this->told_retry = bounded;
    this->caller->respond(
        unavailable, adapter::own_answer_headers(this->request.id, bounded),
        "");
    this->finish("refused", severity::failure, reason, unavailable);
}

auto request_flow::fail(int status, std::string_view reason) -> void
{
    this->caller->respond(
        status, adapter::own_answer_headers(this->request.id, std::nullopt),
        "");
    this->finish("failed", severity::failure, reason, status);
}

auto request_flow::break_off(std::string_view reason) -> void
{
    this->caller->abort();
    this->finish("broken_off", severity::failure, reason, 0);
}

auto request_flow::stop() -> void
{
    this->end_without_answer("node_stops", bad_gateway);
}

auto request_flow::finish(std::string_view event, severity level,
                          std::string_view reason, int status) -> void
{
    if (std::exchange(this->is_over, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->time_over.stop();
    this->silence.stop();
    this->shared.metrics.count_outcome(event, reason);
    this->shared.metrics.record_latency(
        event, this->route.kind, this->shared.owner.now() - this->accepted);
    this->shared.log.write(
        level, event,
        {{"request", this->request.id.str()},
         {"reason", std::string(reason)},
         {"status", std::to_string(status)},
         {"route", this->route.name},
         {"config", std::to_string(this->config->version)},
         {"elapsed_ms", this->elapsed_ms()},
         {"first_event_ms", this->first_event
                                ? ms_text(*this->first_event - this->accepted)
                                : std::string("none")},
         {"longest_pause_ms", ms_text(this->longest_pause)},
         {"attempts", std::to_string(this->attempts)},
         {"turned_away", std::to_string(this->turned_away)},
         {"left_ms", ms_text(this->deadline - this->shared.owner.now())},
         {"retry_after_ms", ms_text(this->told_retry)},
         {"upstream", this->last_upstream.empty()
                          ? std::string("none")
                          : this->last_upstream.str()}});
    if (this->call) {
        std::exchange(this->call, nullptr)->cancel();
    }
    for (const auto number : std::exchange(this->stage_calls, {})) {
        this->shared.dispatch.cancel(number);
    }
    if (this->placing != 0) {
        this->shared.dispatch.cancel(std::exchange(this->placing, 0));
    }
    this->end_attempt(dispatch::work_end::given_up);
    if (this->stages) {
        this->release(this->stages->reset());
    }
}

} // namespace almondtiller::gateway
