#include "services/gateway/flow_limits.h"
#include "services/gateway/request_flow.h"

#include <utility>

namespace almondtiller::gateway {

namespace {

/// Longest time for which a request may be at two upstreams.
constexpr auto max_hold_time = core::milliseconds(200);

} // namespace

auto request_flow::on_progress_timeout() -> void
{
    if (this->is_finished || !this->call || !this->may_retry()) {
        return;
    }
    this->shared.log.write(
        severity::notice, "attempt_silent",
        {{"request", this->request.id.str()},
         {"upstream", this->upstream->id.str()},
         {"events", std::to_string(this->events.event_count())},
         {"attempts", std::to_string(this->attempts)},
         {"elapsed_ms", this->elapsed_ms()}});
    this->shared.metrics.count_retry("silent");
    this->excluded.push_back(this->upstream->id);
    this->is_replacing = true;
    this->place(true);
}

auto request_flow::on_replacement_failed() -> void
{
    this->return_to_held_attempt();
    if (this->may_retry() && this->rejections <= max_retried_rejections) {
        this->is_replacing = true;
        this->place(true);
    } else {
        this->keep_silent_attempt();
    }
}

auto request_flow::keep_silent_attempt() -> void
{
    this->is_replacing = false;
    if (this->placement_number != 0) {
        this->shared.dispatch.cancel(std::exchange(this->placement_number, 0));
    }
    if (this->stages && this->caller->is_started()) {
        this->reset_stages();
    }
    // Seeking another upstream has ended the owner's record of this attempt.
    this->shared.dispatch.announce_again(this->request.id);
    if (this->may_retry()) {
        this->progress_timer.start(event_timeout);
    }
}

auto request_flow::drop_silent_attempt() -> void
{
    this->is_replacing = false;
    this->head.reset();
    if (this->placement_number == 0) {
        this->end_attempt(dispatch::attempt_end::failed);
    }
    // A pending placement has ended the owner's record of this attempt.
    this->upstream.reset();
}

auto request_flow::hold_silent_attempt() -> void
{
    this->is_replacing = false;
    this->cancel_held_attempt("replaced_again");
    this->held = held_attempt{this->attempt_number,
                              *this->upstream,
                              this->sent_at,
                              std::exchange(this->call, nullptr),
                              std::exchange(this->record, nullptr),
                              std::exchange(this->head, std::nullopt),
                              this->verdict,
                              std::exchange(this->body, {}),
                              this->events.incomplete_event(),
                              this->is_stream};
}

auto request_flow::on_sent(std::uint64_t number) -> void
{
    // Until then the replacement can't run the request, and may turn out to be
    // unreachable.
    if (this->held && number == this->attempt_number) {
        this->hold_timer.start(max_hold_time);
    }
}

auto request_flow::on_hold_time_over() -> void
{
    this->has_cancelled_silent = true;
    this->cancel_held_attempt("hold_time_over");
}

auto request_flow::search_again(std::string_view reason,
                                core::milliseconds delay) -> bool
{
    const auto left = to_ms(this->deadline - this->shared.event_loop.now());
    // The delay may be that of other upstreams than the next search finds.
    const auto wait =
        std::max(std::min(delay, left / 3), this->next_search_delay);
    if (!this->has_cancelled_silent || !this->caller->is_started() ||
        !this->may_retry() || wait + min_time_left >= left) {
        return false;
    }
    this->shared.log.write(severity::notice, "upstream_sought_again",
                           {{"request", this->request.id.str()},
                            {"reason", std::string(reason)},
                            {"wait_ms", ms_text(wait)},
                            {"elapsed_ms", this->elapsed_ms()}});
    this->next_search_delay *= 2;
    if (this->stages && !this->stages->is_complete()) {
        this->reset_stages();
    }
    this->search_timer.start(wait);
    return true;
}

auto request_flow::on_search_timer() -> void
{
    // Nothing else may keep the request alive while it waits for the timer.
    const auto self = this->shared_from_this();
    this->excluded.clear();
    this->place(true);
}

auto request_flow::cancel_held_attempt(std::string_view reason) -> void
{
    this->hold_timer.stop();
    if (!this->held) {
        return;
    }
    const auto silent = std::exchange(this->held, std::nullopt);
    silent->call->cancel();
    if (silent->record) {
        silent->record->on_given_up(this->shared.event_loop.now());
    }
    this->shared.log.write(
        severity::notice, "silent_attempt_cancelled",
        {{"request", this->request.id.str()},
         {"upstream", silent->upstream.id.str()},
         {"reason", std::string(reason)},
         {"replaced_by", this->last_upstream.str()},
         {"replaced_ms",
          ms_text(this->shared.event_loop.now() - this->sent_at)},
         {"events", std::to_string(this->events.event_count())},
         {"attempts", std::to_string(this->attempts)},
         {"elapsed_ms", this->elapsed_ms()}});
}

auto request_flow::return_to_held_attempt() -> void
{
    this->hold_timer.stop();
    if (this->call) {
        std::exchange(this->call, nullptr)->cancel();
    }
    this->end_attempt(dispatch::attempt_end::cancelled);
    auto silent = *std::exchange(this->held, std::nullopt);
    this->attempt_number = silent.number;
    this->upstream = silent.upstream;
    this->last_upstream = silent.upstream.id;
    this->sent_at = silent.sent_at;
    this->call = std::move(silent.call);
    this->record = std::move(silent.record);
    this->head = std::move(silent.head);
    this->verdict = silent.verdict;
    this->body = std::move(silent.body);
    this->is_stream = silent.is_stream;
    this->events.discard_incomplete_event();
    static_cast<void>(this->events.feed(silent.incomplete_event));
    this->progress_timer.stop();
    this->shared.log.write(severity::notice, "attempt_continued",
                           {{"request", this->request.id.str()},
                            {"upstream", silent.upstream.id.str()},
                            {"elapsed_ms", this->elapsed_ms()}});
}

auto request_flow::is_current(std::uint64_t number) -> bool
{
    if (this->held && this->held->number == number) {
        this->return_to_held_attempt();
        this->keep_silent_attempt();
    }
    return number == this->attempt_number;
}

auto request_flow::is_failure_of_held(std::uint64_t number,
                                      const http1::response_head& answer)
    -> bool
{
    if (!this->held || this->held->number != number ||
        !is_failure(adapter::decode_verdict(answer))) {
        return false;
    }
    const auto failure = adapter::decode_verdict(answer);
    if (this->held->record && !failure.not_run) {
        this->held->record->on_answer(failure.status,
                                      this->shared.event_loop.now());
    }
    this->held->record.reset();
    this->cancel_held_attempt("error_answer");
    return true;
}

auto request_flow::on_held_attempt_failed(std::uint64_t number,
                                          std::error_code error) -> void
{
    if (this->held && this->held->number == number) {
        this->hold_timer.stop();
        const auto failed = std::exchange(this->held, std::nullopt);
        this->log_broken_attempt(failed->upstream.id, error, true);
        if (this->events.event_count() == 0) {
            this->shared.crashes.on_attempt_failed(failed->upstream,
                                                   this->request, error);
        }
    }
}

auto request_flow::log_broken_attempt(const core::upstream_id& broken,
                                      std::error_code error, bool sent) -> void
{
    this->shared.log.write(
        severity::failure, "attempt_broken",
        {{"request", this->request.id.str()},
         {"upstream", broken.str()},
         {"error", error.message()},
         {"sent", sent ? "yes" : "no"},
         {"events", std::to_string(this->events.event_count())},
         {"attempts", std::to_string(this->attempts)},
         {"elapsed_ms", this->elapsed_ms()}});
}

} // namespace almondtiller::gateway
