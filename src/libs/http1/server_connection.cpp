#include "http1/server_connection.h"

#include "event/loop.h"

#include <utility>

namespace almondtiller::http1 {

namespace {

/// Reading pauses when more bytes of pipelined requests than this are buffered
/// behind the request in progress.
constexpr auto max_pipelined_bytes = std::size_t(1) << 16U;

/// A pipelined request waits while more bytes of earlier responses are unsent.
constexpr auto max_unsent_bytes = std::size_t(1) << 16U;

/// Smaller changes of the load are not reported.
constexpr auto min_reported_bytes = std::size_t(4096);

/// Time between two checks whether a response is read.
constexpr auto unread_check_interval = core::milliseconds(1000);

/// Retry-After of requests that are refused because too much is held, in
/// seconds.
constexpr auto refused_retry_after = "1";

constexpr auto unavailable = 503;

auto status_code_for(const std::error_code& error) -> int
{
    if (error == http1_errc::header_too_large) {
        return 431;
    }
    if (error == http1_errc::body_too_large) {
        return 413;
    }
    return 400;
}

} // namespace

server_connection::server_connection(
    event::loop& loop, std::shared_ptr<event::tcp_stream> accepted,
    std::shared_ptr<const server_options> shared)
    : event_loop(loop),
      stream(std::move(accepted)),
      options(std::move(shared)),
      timeout(loop, [this]() { this->on_timeout(); }),
      unread_timer(loop, [this]() { this->check_unread(); }),
      waiting_since(loop.now())
{}

auto server_connection::start(
    std::function<bool(const connection_load&)> load_hook) -> void
{
    this->on_load = std::move(load_hook);
    this->restart_timer();
    const auto weak = this->weak_from_this();
    this->stream->start(
        [weak](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->on_bytes(bytes);
            }
        },
        [weak](std::error_code) {
            if (const auto self = weak.lock()) {
                self->on_end();
            }
        });
}

auto server_connection::restart_timer() -> void
{
    this->is_reading_request = this->parser.is_within_request();
    this->waiting_since = this->event_loop.now();
    this->timeout.start(this->timeout_in_force());
}

auto server_connection::timeout_in_force() const -> core::milliseconds
{
    return this->is_reading_request ? this->options->header_timeout()
                                    : this->options->idle_timeout();
}

auto server_connection::on_timeout() -> void
{
    if (this->is_finishing) {
        this->close();
        return;
    }
    const auto waited = this->event_loop.now() - this->waiting_since;
    const auto left = std::chrono::duration_cast<core::milliseconds>(
        this->timeout_in_force() - waited);
    if (left.count() > 0) {
        // A longer timeout has come into force since the timer was started.
        this->timeout.start(left);
        return;
    }
    if (this->is_reading_request) {
        this->reject(http1_errc::timed_out);
        return;
    }
    if (this->options->on_idle_timeout) {
        this->options->on_idle_timeout(waited);
    }
    this->close();
}

auto server_connection::on_bytes(std::string_view bytes) -> void
{
    if (this->is_finishing) {
        return;
    }
    this->parser.feed(bytes);
    if (this->current) {
        if (this->parser.buffered_bytes() > max_pipelined_bytes) {
            this->stream->pause_reading();
        }
        this->end_if_overloaded();
        return;
    }
    if (this->stream->pending_bytes() > max_unsent_bytes) {
        this->continue_reading();
        return;
    }
    this->read_next();
}

auto server_connection::read_next() -> void
{
    const auto self = this->shared_from_this();
    auto error = std::error_code();
    this->parser.set_limits(this->options->limits());
    auto request = this->parser.next(error);
    if (error) {
        this->reject(error);
        return;
    }
    if (!request) {
        if (this->parser.take_expect_continue()) {
            this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (this->is_reading_request != this->parser.is_within_request()) {
            this->restart_timer();
        }
        if (!this->report_load()) {
            this->refuse();
        }
        return;
    }
    this->run(std::move(*request));
}

auto server_connection::run(request_message request) -> void
{
    this->timeout.stop();
    this->is_reading_request = false;
    this->keep_alive = request.keep_alive;
    // The request is kept for a retry, and its bytes are sent.
    this->request_bytes = 2 * request.body.size();
    this->current = std::make_shared<exchange>(this->shared_from_this());
    if (!this->report_load()) {
        this->keep_alive = false;
        if (this->options->on_refused) {
            this->options->on_refused(request, this->current);
        } else {
            this->refuse();
        }
        return;
    }
    this->options->on_request(std::move(request), this->current);
}

auto server_connection::refuse() -> void
{
    this->keep_alive = false;
    if (!this->current) {
        this->current = std::make_shared<exchange>(this->shared_from_this());
    }
    this->current->respond(unavailable, {{"Retry-After", refused_retry_after}},
                           "");
}

auto server_connection::end_for_overload() -> void
{
    const auto self = this->shared_from_this();
    this->on_load = nullptr;
    if (!this->current && !this->is_finishing && this->is_reading_request) {
        this->refuse();
    }
    // Whoever is ended holds much or is one of too many, so what it has not
    // taken by now is not kept for it.
    this->close();
}

auto server_connection::load() const -> connection_load
{
    const auto phase = this->current              ? connection_phase::running
                       : this->is_reading_request ? connection_phase::reading
                                                  : connection_phase::idle;
    return {phase, this->parser.held_bytes() + this->request_bytes +
                       this->held_bytes + this->stream->pending_bytes()};
}

auto server_connection::report_load() -> bool
{
    if (!this->on_load) {
        return true;
    }
    const auto now = this->load();
    const auto change = now.bytes > this->reported.bytes
                            ? now.bytes - this->reported.bytes
                            : this->reported.bytes - now.bytes;
    if (now.phase == this->reported.phase && change < min_reported_bytes) {
        return true;
    }
    this->reported = now;
    // A copy, because close() clears the hook and may run within it.
    const auto hook = this->on_load;
    return hook(now);
}

auto server_connection::on_written() -> void
{
    if (this->stream->pending_bytes() == 0) {
        return;
    }
    if (!this->report_load()) {
        // The caller of this function is within the request.
        this->event_loop.post([weak = this->weak_from_this()]() {
            if (const auto self = weak.lock()) {
                self->end_for_overload();
            }
        });
    }
    if (std::exchange(this->is_watching, true)) {
        return;
    }
    this->last_sent = this->stream->sent_bytes();
    this->unread_since = this->event_loop.now();
    this->unread_timer.start(unread_check_interval);
}

auto server_connection::check_unread() -> void
{
    const auto now = this->event_loop.now();
    const auto sent = this->stream->sent_bytes();
    this->is_watching = this->stream->pending_bytes() > 0;
    if (std::exchange(this->last_sent, sent) != sent) {
        this->unread_since = now;
    }
    if (this->is_watching &&
        now - this->unread_since > this->options->idle_timeout()) {
        if (this->options->on_unread) {
            this->options->on_unread();
        }
        this->close();
        return;
    }
    if (this->is_watching) {
        this->unread_timer.start(unread_check_interval);
    }
    this->end_if_overloaded();
}

auto server_connection::end_if_overloaded() -> void
{
    if (!this->report_load()) {
        this->end_for_overload();
    }
}

auto server_connection::reject(std::error_code error) -> void
{
    if (this->options->on_bad_request) {
        this->options->on_bad_request(error);
    }
    this->keep_alive = false;
    const auto status =
        error == http1_errc::timed_out ? 408 : status_code_for(error);
    this->current = std::make_shared<exchange>(this->shared_from_this());
    this->current->respond(status, {}, "");
}

auto server_connection::on_exchange_finished(bool keeps_alive) -> void
{
    this->current.reset();
    this->request_bytes = 0;
    this->held_bytes = 0;
    if (!keeps_alive) {
        this->end_if_overloaded();
        this->finish_sending();
        return;
    }
    this->restart_timer();
    this->continue_reading();
    this->end_if_overloaded();
}

auto server_connection::continue_reading() -> void
{
    if (this->is_closed || this->is_finishing) {
        return;
    }
    if (this->stream->pending_bytes() > max_unsent_bytes) {
        this->stream->pause_reading();
        this->timeout.stop();
        this->stream->on_drained([weak = this->weak_from_this()]() {
            const auto self = weak.lock();
            if (self && !self->current) {
                self->restart_timer();
                self->continue_reading();
            }
        });
        return;
    }
    this->stream->resume_reading();
    if (this->parser.buffered_bytes() > 0) {
        this->event_loop.post([self = this->shared_from_this()]() {
            if (!self->is_closed && !self->is_finishing && !self->current) {
                self->read_next();
            }
        });
    }
}

auto server_connection::finish_sending() -> void
{
    if (this->is_closed) {
        return;
    }
    if (this->stream->pending_bytes() == 0) {
        this->close();
        return;
    }
    // Unsent bytes are lost when the owner drops the connection, so on_closed
    // waits for them.
    this->is_finishing = true;
    this->timeout.start(this->options->idle_timeout());
    this->stream->on_drained(
        [self = this->shared_from_this()]() { self->close(); });
}

auto server_connection::on_end() -> void
{
    this->close();
}

auto server_connection::close_if_idle() -> void
{
    if (!this->current && this->stream->pending_bytes() == 0 &&
        !this->parser.is_within_request()) {
        this->close();
    }
}

auto server_connection::close() -> void
{
    if (std::exchange(this->is_closed, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->timeout.stop();
    this->unread_timer.stop();
    this->on_load = nullptr;
    this->stream->close();
    if (const auto open = std::exchange(this->current, nullptr)) {
        const auto disconnect_action =
            std::exchange(open->disconnect_action, nullptr);
        open->finished = true;
        open->connection.reset();
        if (disconnect_action) {
            disconnect_action();
        }
    }
    if (this->options->on_closed) {
        this->options->on_closed(self);
    }
}

} // namespace almondtiller::http1
