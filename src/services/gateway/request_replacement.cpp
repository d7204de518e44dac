#include "services/gateway/flow_limits.h"
#include "services/gateway/request_flow.h"

#include <utility>

namespace almondtiller::gateway {

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

auto request_flow::cancel_silent_attempt() -> void
{
    this->log_broken_attempt(http1::http1_errc::timed_out, true);
    std::exchange(this->call, nullptr)->cancel();
    this->drop_silent_attempt();
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

auto request_flow::log_broken_attempt(std::error_code error, bool sent) -> void
{
    this->shared.log.write(
        severity::failure, "attempt_broken",
        {{"request", this->request.id.str()},
         {"upstream", this->upstream ? this->upstream->id.str() : ""},
         {"error", error.message()},
         {"sent", sent ? "yes" : "no"},
         {"events", std::to_string(this->events.event_count())},
         {"attempts", std::to_string(this->attempts)},
         {"elapsed_ms", this->elapsed_ms()}});
}

} // namespace almondtiller::gateway
