#include "http1/server_connection.h"

#include <array>
#include <cstdio>
#include <utility>

namespace almondtiller::http1 {

namespace {

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
    this->connection->held_bytes = 0;
    this->connection->on_written();
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
    this->connection->on_written();
}

auto exchange::send(std::string_view piece) -> void
{
    if (!this->started || this->finished || piece.empty()) {
        return;
    }
    if (!this->chunked) {
        this->connection->stream->write(std::string(piece));
        this->connection->on_written();
        return;
    }
    auto chunk = chunk_prefix(piece.size());
    chunk += piece;
    chunk += "\r\n";
    this->connection->stream->write(std::move(chunk));
    this->connection->on_written();
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

auto exchange::hold(std::size_t bytes) -> bool
{
    if (!this->connection) {
        return true;
    }
    this->connection->held_bytes = bytes;
    return this->connection->report_load();
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

} // namespace almondtiller::http1
