#include "services/gateway/request_flow.h"

#include "platform/upstream_messages.h"
#include "services/gateway/flow_limits.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto request_flow::send(const serving::upstream& granted) -> void
{
    const auto now = this->shared.event_loop.now();
    if (!this->may_send(granted.id)) {
        this->excluded.push_back(granted.id);
        this->shared.dispatch.report_ended(this->service, this->request.id,
                                           dispatch::attempt_end::cancelled);
        this->place(this->attempts > 0);
        return;
    }
    if (const auto reason =
            this->shared.crashes.quarantine_reason(this->request)) {
        this->shared.dispatch.report_ended(this->service, this->request.id,
                                           dispatch::attempt_end::cancelled);
        this->give_up(*reason, quarantine_retry_after);
        return;
    }
    if (this->is_replacing) {
        this->hold_silent_attempt();
    }
    this->upstream = granted;
    this->open_record(granted.id);
    auto send_parameters = serving::upstream_send();
    send_parameters.expected = granted.id;
    send_parameters.time_left = to_ms(this->deadline - now);
    send_parameters.workspace = this->workspace;
    send_parameters.urgency =
        std::min(base_urgency + this->priority, max_urgency);
    send_parameters.last_event = this->events.last_id().empty()
                                     ? this->request.last_event
                                     : this->events.last_id();
    if (this->stages) {
        send_parameters.inputs = this->stages->inputs();
    }
    this->head.reset();
    this->body.clear();
    this->events.discard_incomplete_event();
    ++this->attempts;
    this->sent_at = now;
    this->last_upstream = granted.id;
    this->shared.log.write(
        severity::detail, "sent",
        {{"request", this->request.id.str()},
         {"service", this->service.str()},
         {"upstream", granted.id.str()},
         {"zone", granted.zone.str()},
         {"version", this->version_of(granted.id)},
         {"owner",
          this->shared.dispatch.owner_of(this->service, this->zone).str()},
         {"attempt", std::to_string(this->attempts)},
         {"inputs", std::to_string(send_parameters.inputs.size())},
         {"resumes", this->events.last_id().empty() ? "no" : "yes"},
         {"left_ms", ms_text(send_parameters.time_left)},
         {"elapsed_ms", this->elapsed_ms()}});
    auto options = http1::call_options();
    options.connect_limit = connect_timeout;
    options.longest_idle = this->is_retryable() ? max_idle_if_retryable
                                                : max_idle_if_not_retryable;
    options.expected_value = this->request.id.str();
    options.has_no_body = this->request.method == "HEAD";
    if (this->route.kind == serving::route_kind::streaming) {
        // Events are forwarded as they arrive; see forward_events().
        options.largest_body = 0;
    }
    const auto self = this->shared_from_this();
    auto hooks = http1::pool_hooks();
    const auto number = ++this->last_attempt_number;
    this->attempt_number = number;
    hooks.on_sent = [self, number]() {
        self->on_sent(number);
    };
    const auto identity = std::make_shared<http1::answer_identity>();
    hooks.on_head = [self, number, identity](http1::response_head answer) {
        *identity = adapter::identify_response(answer);
        if (!self->is_failure_of_held(number, answer) &&
            self->is_current(number)) {
            self->on_head(std::move(answer));
        }
    };
    hooks.on_body = [self, number](std::string_view bytes) {
        if (self->is_current(number)) {
            self->on_body(bytes);
        }
    };
    hooks.identify = [identity]() {
        return *identity;
    };
    hooks.on_done = [self, number](std::error_code error, bool sent) {
        if (error && number != self->attempt_number) {
            self->on_held_attempt_failed(number, error);
        } else if (self->is_current(number)) {
            self->on_done(error, sent);
        }
    };
    if (this->attempts < this->route.max_attempts && this->is_retryable()) {
        const auto is_idempotent =
            this->route.kind == serving::route_kind::idempotent;
        const auto answer_timeout = core::milliseconds(
            std::int64_t(double(this->route.target_latency.count()) *
                         answer_timeout_factor));
        this->progress_timer.start(
            is_idempotent ? answer_timeout : answer_timeout + event_timeout);
    }
    this->call = this->shared.pool.call(
        {granted.id.str(), granted.address},
        adapter::encode_request(this->request, send_parameters), options,
        std::move(hooks));
}

auto request_flow::on_head(http1::response_head answer) -> void
{
    this->verdict = adapter::decode_verdict(answer);
    const auto is_mismatched = !this->verdict.request.empty() &&
                               this->verdict.request != this->request.id;
    const auto is_unsealed =
        is_success(this->verdict.status) && !this->verdict.is_sealed;
    if (is_mismatched || is_unsealed) {
        this->verdict.is_genuine = false;
    }
    this->shared.report_verdict(this->upstream->id, this->verdict,
                                this->sent_at);
    if (is_mismatched || is_unsealed) {
        // The answer belongs to another request or lacks the upstream's seal.
        std::exchange(this->call, nullptr)->cancel();
        this->on_attempt_failed(http1::http1_errc::unexpected_bytes, true);
        return;
    }
    if (this->is_replacing && !this->verdict.not_run) {
        this->keep_silent_attempt();
    }
    if (!is_failure(this->verdict)) {
        this->cancel_held_attempt("replacement_answers");
        this->has_cancelled_silent = false;
    }
    this->head = std::move(answer);
    this->is_stream = is_success(this->verdict.status) &&
                      this->route.kind == serving::route_kind::streaming;
    if (this->is_stream) {
        this->shared.dispatch.report_started(this->service, this->request.id);
    }
}

auto request_flow::on_body(std::string_view bytes) -> void
{
    if (this->is_stream) {
        this->forward_events(bytes);
        return;
    }
    this->body += bytes;
    if (this->body.size() > max_answer_bytes && this->call) {
        std::exchange(this->call, nullptr)->cancel();
        this->on_attempt_failed(http1::http1_errc::body_too_large, true);
        return;
    }
    this->end_if_overloaded();
}

auto request_flow::forward_events(std::string_view bytes) -> void
{
    const auto known_events = this->events.event_count();
    const auto complete_events = this->events.feed(bytes);
    if (this->record) {
        this->record->on_events(this->events.event_count() - known_events,
                                this->shared.event_loop.now());
    }
    if (this->events.incomplete_event().size() > max_event_bytes &&
        this->call) {
        std::exchange(this->call, nullptr)->cancel();
        this->on_attempt_failed(http1::http1_errc::body_too_large, true);
        return;
    }
    if (complete_events.empty()) {
        this->end_if_overloaded();
        return;
    }
    if (this->is_replacing) {
        this->keep_silent_attempt();
    }
    const auto now = this->shared.event_loop.now();
    if (this->first_event) {
        this->longest_pause =
            std::max(this->longest_pause, now - this->last_event);
    }
    this->last_event = now;
    if (!this->caller->is_started()) {
        this->first_event = now;
        this->shared.crashes.on_answer_begun(this->request);
        this->caller->start(this->verdict.status,
                            adapter::answer_headers(*this->head), std::nullopt);
        if (this->stages) {
            this->reset_stages();
        }
    }
    this->caller->send(complete_events);
    if (this->may_retry()) {
        this->progress_timer.start(event_timeout);
    } else {
        this->progress_timer.stop();
    }
    constexpr auto max_pending_bytes = std::size_t(256) << 10U;
    if (this->caller->pending_bytes() > max_pending_bytes && this->call) {
        this->call->pause_reading();
        this->was_paused = true;
        this->caller->on_drained([self = this->shared_from_this()]() {
            if (self->call) {
                self->call->resume_reading();
            }
        });
    }
}

auto request_flow::on_done(std::error_code error, bool sent) -> void
{
    this->progress_timer.stop();
    this->call.reset();
    if (this->is_finished) {
        return;
    }
    if (!error) {
        this->close_record();
    }
    this->record.reset();
    if (error) {
        this->on_attempt_failed(error, sent);
    } else if (this->verdict.not_run) {
        this->on_not_run();
    } else {
        if (this->is_replacing) {
            this->keep_silent_attempt();
        }
        if (!this->is_stream && is_success(this->verdict.status)) {
            this->shared.crashes.on_answer_begun(this->request);
        }
        this->on_answer();
    }
}

auto request_flow::on_not_run() -> void
{
    --this->attempts;
    ++this->rejections;
    this->shared.log.write(severity::notice, "turned_away",
                           {{"request", this->request.id.str()},
                            {"upstream", this->upstream->id.str()},
                            {"status", std::to_string(this->verdict.status)},
                            {"elapsed_ms", this->elapsed_ms()}});
    if (this->is_replacing) {
        this->drop_silent_attempt();
        return;
    }
    this->excluded.push_back(this->upstream->id);
    this->end_attempt(dispatch::attempt_end::rejected);
    if (this->held) {
        this->on_replacement_failed();
        return;
    }
    if (this->verdict.status == conflict && this->stages) {
        this->excluded.clear();
        this->restart_stages();
        return;
    }
    if (this->rejections > max_retried_rejections) {
        this->give_up("turned_away", min_retry_delay);
        return;
    }
    this->shared.metrics.count_retry("turned_away");
    this->place(true);
}

auto request_flow::on_answer() -> void
{
    if (this->is_stream && !this->events.incomplete_event().empty()) {
        this->on_attempt_failed(http1::http1_errc::truncated_message, true);
        return;
    }
    const auto status = this->verdict.status;
    if (this->held && is_failure(this->verdict)) {
        this->excluded.push_back(this->upstream->id);
        this->end_attempt(dispatch::attempt_end::completed);
        this->on_replacement_failed();
        return;
    }
    if (this->upstream) {
        if (is_failure(this->verdict) && this->may_retry()) {
            this->excluded.push_back(this->upstream->id);
            this->end_attempt(dispatch::attempt_end::completed);
            this->shared.metrics.count_retry("upstream_error");
            this->place(true);
            return;
        }
        this->end_attempt(dispatch::attempt_end::completed);
    }
    if (this->is_stream) {
        if (!this->caller->is_started()) {
            this->caller->start(status, adapter::answer_headers(*this->head),
                                std::nullopt);
        }
        this->caller->finish();
    } else if (this->caller->is_started()) {
        // The stream has begun, so that its caller can't get the error answer
        // of the upstream that was to resume it.
        this->caller->abort();
        this->finish("broken_off", severity::failure, "upstream_error", status);
        return;
    } else if (this->verdict.is_refusal && !this->is_retryable()) {
        // The upstream may have run the request, which its caller would send
        // again.
        this->shared.log.write(severity::notice, "refusal_withheld",
                               {{"request", this->request.id.str()},
                                {"upstream", this->last_upstream.str()},
                                {"status", std::to_string(status)},
                                {"elapsed_ms", this->elapsed_ms()}});
        this->fail(bad_gateway, "refused_after_run");
        return;
    } else {
        this->caller->respond(status, adapter::answer_headers(*this->head),
                              this->body);
    }
    this->finish("answered",
                 is_success(status) ? severity::detail : severity::failure,
                 is_success(status) ? "success" : "upstream_error", status);
}

auto request_flow::on_attempt_failed(std::error_code error, bool sent) -> void
{
    this->record.reset();
    this->log_broken_attempt(this->last_upstream, error, sent);
    this->progress_timer.stop();
    this->head.reset();
    if (this->upstream && sent && this->events.event_count() == 0) {
        this->shared.crashes.on_attempt_failed(*this->upstream, this->request,
                                               error);
    }
    if (this->is_replacing) {
        this->attempts -= sent ? 0 : 1;
        this->drop_silent_attempt();
        return;
    }
    if (this->upstream) {
        this->excluded.push_back(this->upstream->id);
    }
    this->end_attempt(dispatch::attempt_end::failed);
    if (this->held) {
        this->attempts -= sent ? 0 : 1;
        this->on_replacement_failed();
        return;
    }
    if (!sent) {
        --this->attempts;
        this->shared.metrics.count_retry("not_connected");
        // The request was not sent, so this failure alone does not make the
        // next attempt a retry.
        this->place(this->attempts + this->rejections > 0);
    } else if (this->may_retry()) {
        this->shared.metrics.count_retry("broken");
        this->place(true);
    } else if (this->caller->is_started()) {
        this->abort_answer("upstream_broke_off");
    } else {
        this->fail(bad_gateway, "upstream_broke_off");
    }
}

auto request_flow::end_attempt(dispatch::attempt_end how) -> void
{
    if (!this->upstream) {
        return;
    }
    this->upstream.reset();
    this->shared.dispatch.report_ended(this->service, this->request.id, how,
                                       how == dispatch::attempt_end::completed
                                           ? this->event_time()
                                           : std::nullopt);
}

auto request_flow::event_time() const -> std::optional<core::duration>
{
    constexpr auto min_events = std::size_t(3);
    const auto events = this->events.event_count();
    if (!this->is_stream || !this->first_event || this->was_paused ||
        this->attempts != 1 || events < min_events) {
        return std::nullopt;
    }
    return (this->last_event - *this->first_event) / (events - 1);
}

} // namespace almondtiller::gateway
