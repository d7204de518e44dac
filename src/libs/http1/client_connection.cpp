#include "http1/client_connection.h"

#include <charconv>
#include <utility>

namespace almondtiller::http1 {

namespace {

/// \return The timeout parameter of a Keep-Alive field; 0 s if it has none.
auto keep_alive_timeout(std::string_view value) -> std::chrono::seconds
{
    constexpr auto key = std::string_view("timeout=");
    const auto at = value.find(key);
    auto seconds = 0;
    if (at != std::string_view::npos) {
        const auto digits = value.substr(at + key.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    }
    return std::chrono::seconds(seconds);
}

} // namespace

client_connection::client_connection(
    std::shared_ptr<event::tcp_stream> connected)
    : stream(std::move(connected))
{}

auto client_connection::start() -> void
{
    const auto weak = this->weak_from_this();
    this->stream->start(
        [weak](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->on_bytes(bytes);
            }
        },
        [weak](std::error_code error) {
            if (const auto self = weak.lock()) {
                self->on_end(error);
            }
        });
}

auto client_connection::call(std::string request, bool has_no_body,
                             call_hooks callbacks, std::uint64_t largest_body)
    -> void
{
    this->body_bytes = 0;
    this->body_limit = largest_body;
    this->hooks = std::make_shared<const call_hooks>(std::move(callbacks));
    this->parser = std::make_unique<response_parser>(
        response_parser::hooks{[this](response_head head) {
                                   this->reusable = head.keep_alive &&
                                                    !head.ends_with_connection;
                                   this->announced_timeout = keep_alive_timeout(
                                       head.headers.find("keep-alive"));
                                   // A hook may cancel the call, which resets
                                   // this->hooks.
                                   const auto kept = this->hooks;
                                   if (kept && kept->on_head) {
                                       kept->on_head(std::move(head));
                                   }
                               },
                               [this](std::string_view bytes) {
                                   this->on_body(bytes);
                               }},
        has_no_body);
    this->stream->write(std::move(request));
}

auto client_connection::on_body(std::string_view bytes) -> void
{
    this->body_bytes += bytes.size();
    if (this->is_too_large()) {
        return;
    }
    const auto kept = this->hooks;
    if (kept && kept->on_body) {
        kept->on_body(bytes);
    }
}

auto client_connection::is_too_large() const -> bool
{
    return this->body_limit != 0 && this->body_bytes > this->body_limit;
}

auto client_connection::on_bytes(std::string_view bytes) -> void
{
    const auto self = this->shared_from_this();
    if (!this->parser) {
        // The connection is unusable after bytes that belong to no request.
        this->cancel();
        return;
    }
    const auto error = this->parser->feed(bytes);
    if (!this->stream->is_open()) {
        return;
    }
    if (this->is_too_large()) {
        this->finish(http1_errc::body_too_large);
        return;
    }
    if (this->parser->is_complete()) {
        if (error || this->stream->pending_bytes() > 0) {
            this->reusable = false;
        }
        this->finish({});
    } else if (error) {
        this->finish(error);
    }
}

auto client_connection::on_end(std::error_code error) -> void
{
    const auto self = this->shared_from_this();
    this->reusable = false;
    if (!this->parser) {
        this->stream->close();
        return;
    }
    if (!error) {
        error = this->parser->feed_end();
    }
    if (!error && this->stream->unacknowledged_bytes() > 0) {
        // A server that is lost while it gets the request ends a response
        // without a length in the same way as one that has sent all of it.
        error = http1_errc::truncated_message;
    }
    this->finish(error);
}

auto client_connection::finish(std::error_code error) -> void
{
    const auto callbacks = std::exchange(this->hooks, nullptr);
    // This function may be called from within the parser, so keep the parser
    // alive until it returns.
    const auto kept = std::shared_ptr<response_parser>(std::move(this->parser));
    if (error || !this->reusable) {
        this->reusable = false;
        this->stream->close();
    }
    // The call may have been paused.
    this->stream->resume_reading();
    if (callbacks && callbacks->on_done) {
        callbacks->on_done(error);
    }
}

auto client_connection::cancel() -> void
{
    this->hooks = nullptr;
    this->reusable = false;
    this->stream->close();
}

auto client_connection::check_answer(const answer_identity& identity)
    -> std::error_code
{
    if (!identity.is_possible) {
        this->cancel();
        return http1_errc::foreign_answer;
    }
    if (!this->answers.record(identity.values)) {
        this->cancel();
        return http1_errc::repeated_answer;
    }
    const auto is_identified =
        !identity.values.empty() || identity.is_interchangeable;
    if (!is_identified || this->answers.is_full()) {
        this->cancel();
    }
    return {};
}

auto client_connection::has_carried(const std::string& value) const -> bool
{
    return this->answers.contains(value);
}

auto client_connection::is_idle() const -> bool
{
    return !this->parser;
}

auto client_connection::is_open() const -> bool
{
    return this->stream->is_open();
}

auto client_connection::is_reusable() const -> bool
{
    return this->reusable && this->is_open();
}

auto client_connection::announced_idle_timeout() const -> std::chrono::seconds
{
    return this->announced_timeout;
}

auto client_connection::pause_reading() -> void
{
    this->stream->pause_reading();
}

auto client_connection::resume_reading() -> void
{
    this->stream->resume_reading();
}

} // namespace almondtiller::http1
