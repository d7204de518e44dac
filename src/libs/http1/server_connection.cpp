#include "http1/server_connection.h"

#include "event/loop.h"

#include <array>
#include <cstdio>
#include <utility>

namespace almondtiller::http1 {

namespace {

/// Reading pauses when more bytes of pipelined requests than this are buffered
/// behind the request in progress.
constexpr auto max_pipelined_bytes = std::size_t(1) << 20U;

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

auto chunk_prefix(std::size_t size) -> std::string
{
    auto digits = std::array<char, 24>();
    const auto length =
        std::snprintf(digits.data(), digits.size(), "%zx\r\n", size);
    return {digits.data(), std::size_t(length)};
}

} // namespace

exchange::exchange(std::shared_ptr<server_connection> caller)
    : connection(std::move(caller))
{}

auto exchange::write_head(int status, const header_list& headers) -> std::string
{
    auto head = "HTTP/1.1 " + std::to_string(status) + " " +
                std::string(reason_phrase(status)) + "\r\n";
    for (const auto& field : headers) {
        head += field.name + ": " + field.value + "\r\n";
    }
    const auto& options = *this->connection->options;
    if (options.is_draining && options.is_draining()) {
        this->connection->keep_alive = false;
    }
    if (!this->connection->keep_alive) {
        head += "Connection: close\r\n";
    }
    return head;
}

auto exchange::respond(int status, const header_list& headers,
                       std::string_view body) -> void
{
    if (this->started || this->finished) {
        return;
    }
    this->started = true;
    auto answer = this->write_head(status, headers);
    answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    answer += body;
    this->connection->stream->write(std::move(answer));
    this->complete();
}

auto exchange::start(int status, const header_list& headers,
                     std::optional<std::uint64_t> length) -> void
{
    if (this->started || this->finished) {
        return;
    }
    this->started = true;
    this->chunked = !length;
    auto head = this->write_head(status, headers);
    head += length ? "Content-Length: " + std::to_string(*length) + "\r\n\r\n"
                   : std::string("Transfer-Encoding: chunked\r\n\r\n");
    this->connection->stream->write(std::move(head));
}

auto exchange::send(std::string_view piece) -> void
{
    if (!this->started || this->finished || piece.empty()) {
        return;
    }
    if (!this->chunked) {
        this->connection->stream->write(std::string(piece));
        return;
    }
    auto chunk = chunk_prefix(piece.size());
    chunk += piece;
    chunk += "\r\n";
    this->connection->stream->write(std::move(chunk));
}

auto exchange::finish() -> void
{
    if (!this->started || this->finished) {
        return;
    }
    if (this->chunked) {
        this->connection->stream->write("0\r\n\r\n");
    }
    this->complete();
}

auto exchange::complete() -> void
{
    this->finished = true;
    this->disconnect_action = nullptr;
    const auto kept = std::exchange(this->connection, nullptr);
    kept->on_exchange_finished(kept->keep_alive);
}

auto exchange::abort() -> void
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    this->disconnect_action = nullptr;
    std::exchange(this->connection, nullptr)->close();
}

auto exchange::on_gone(std::function<void()> action) -> void
{
    if (!this->finished) {
        this->disconnect_action = std::move(action);
    }
}

auto exchange::pending_bytes() const -> std::size_t
{
    return this->connection ? this->connection->stream->pending_bytes() : 0;
}

auto exchange::on_drained(std::function<void()> action) -> void
{
    if (this->connection) {
        this->connection->stream->on_drained(std::move(action));
    }
}

auto exchange::is_started() const -> bool
{
    return this->started;
}

auto exchange::is_finished() const -> bool
{
    return this->finished;
}

server_connection::server_connection(
    event::loop& loop, std::shared_ptr<event::tcp_stream> accepted,
    std::shared_ptr<const server_options> shared)
    : event_loop(loop),
      stream(std::move(accepted)),
      options(std::move(shared)),
      timeout(loop, [this]() { this->on_timeout(); }),
      waiting_since(loop.now())
{}

auto server_connection::start() -> void
{
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
        return;
    }
    this->timeout.stop();
    this->keep_alive = request->keep_alive;
    this->current = std::make_shared<exchange>(self);
    this->options->on_request(std::move(*request), this->current);
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
    if (!keeps_alive) {
        this->finish_sending();
        return;
    }
    this->stream->resume_reading();
    this->restart_timer();
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
