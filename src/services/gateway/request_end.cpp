#include "services/gateway/request_flow.h"

#include "platform/caller_messages.h"
#include "services/gateway/flow_limits.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto request_flow::end_incomplete(std::string_view reason, int status) -> void
{
    if (this->is_finished) {
        return;
    }
    if (this->caller->is_started()) {
        this->abort_answer(reason);
    } else if (this->attempts > 0) {
        // The request may have run.
        this->fail(status, reason);
    } else {
        this->reject(reason, min_retry_delay);
    }
}

auto request_flow::end_if_overloaded() -> void
{
    const auto held_bytes = this->held ? this->held->body.size() +
                                             this->held->incomplete_event.size()
                                       : std::size_t(0);
    const auto stage_bytes = this->stages && !this->stages->is_complete()
                                 ? std::size_t(this->stages->work_bytes())
                                 : std::size_t(0);
    if (!this->caller->hold(this->body.size() + held_bytes + stage_bytes +
                            this->events.incomplete_event().size())) {
        this->end_incomplete("memory_limit", bad_gateway);
    }
}

auto request_flow::give_up(std::string_view reason,
                           core::milliseconds retry_after) -> void
{
    if (this->is_replacing) {
        this->shared.log.write(severity::notice, "attempt_not_replaced",
                               {{"request", this->request.id.str()},
                                {"reason", std::string(reason)},
                                {"elapsed_ms", this->elapsed_ms()}});
        this->keep_silent_attempt();
    } else if (this->search_again(reason, retry_after)) {
        return;
    } else if (this->caller->is_started()) {
        this->abort_answer(reason);
    } else if (this->head && !is_success(this->verdict.status) &&
               !this->verdict.not_run) {
        // No retry is possible: the caller gets the upstream's error answer.
        this->on_answer();
    } else if (this->attempts > 0) {
        this->fail(bad_gateway, reason);
    } else {
        this->reject(reason, retry_after);
    }
}

auto request_flow::on_deadline() -> void
{
    const auto self = this->shared_from_this();
    if (this->record) {
        this->record->on_given_up(this->shared.event_loop.now());
    }
    this->end_incomplete("time_over", gateway_timeout);
}

auto request_flow::on_caller_disconnected() -> void
{
    if (!this->is_finished) {
        this->finish("caller_gone", severity::notice, "caller_left", 0);
    }
}

auto request_flow::reject(std::string_view reason,
                          core::milliseconds retry_after) -> void
{
    const auto left = to_ms(this->deadline - this->shared.event_loop.now());
    const auto max_delay = std::max(left / 3, min_retry_delay);
    const auto jitter = 1.0 + 0.3 * this->shared.random.unit();
    const auto delay =
        core::milliseconds(std::int64_t(double(retry_after.count()) * jitter));
    const auto bounded_delay = std::clamp(delay, min_retry_delay, max_delay);
    this->sent_retry_after = bounded_delay;
    this->caller->respond(
        unavailable,
        adapter::own_answer_headers(this->request.id, bounded_delay), "");
    this->finish("refused", severity::failure, reason, unavailable);
}

auto request_flow::fail(int status, std::string_view reason) -> void
{
    this->caller->respond(
        status, adapter::own_answer_headers(this->request.id, std::nullopt),
        "");
    this->finish("failed", severity::failure, reason, status);
}

auto request_flow::abort_answer(std::string_view reason) -> void
{
    this->caller->abort();
    this->finish("broken_off", severity::failure, reason, 0);
}

auto request_flow::stop() -> void
{
    this->end_incomplete("node_stops", bad_gateway);
}

auto request_flow::finish(std::string_view event, severity level,
                          std::string_view reason, int status) -> void
{
    if (std::exchange(this->is_finished, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->deadline_timer.stop();
    this->progress_timer.stop();
    this->search_timer.stop();
    this->shared.metrics.count_outcome(event, reason);
    this->shared.metrics.record_latency(event, this->route.kind,
                                        this->shared.event_loop.now() -
                                            this->accepted);
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
         {"turned_away", std::to_string(this->rejections)},
         {"left_ms", ms_text(this->deadline - this->shared.event_loop.now())},
         {"retry_after_ms", ms_text(this->sent_retry_after)},
         {"upstream", this->last_upstream.empty()
                          ? std::string("none")
                          : this->last_upstream.str()}});
    if (this->call) {
        std::exchange(this->call, nullptr)->cancel();
    }
    this->record.reset();
    this->cancel_held_attempt("request_ended");
    for (const auto number : std::exchange(this->stage_numbers, {})) {
        this->shared.dispatch.cancel(number);
    }
    if (this->placement_number != 0) {
        this->shared.dispatch.cancel(std::exchange(this->placement_number, 0));
    }
    this->upstream.reset();
    // A record may remain although no attempt is open.
    this->shared.dispatch.report_ended(this->service, this->request.id,
                                       dispatch::attempt_end::cancelled);
    if (this->stages) {
        this->release(this->stages->reset());
    }
}

} // namespace almondtiller::gateway
