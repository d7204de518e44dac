#pragma once

#include "event/tcp_stream.h"
#include "http1/answer_history.h"
#include "http1/parser.h"

#include <functional>
#include <memory>

namespace almondtiller::http1 {

/// Callbacks of one call. on_done is called once, after all others.
struct call_hooks
{
    std::function<void(response_head)> on_head;
    std::function<void(std::string_view)> on_body;
    /// Called without an error when the response is complete.
    std::function<void(std::error_code)> on_done;
};

/// A client connection to a server; it carries one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    explicit client_connection(std::shared_ptr<event::tcp_stream> stream);

    auto start() -> void;

    /// Sends a request.
    /// \param largest_body The call fails if the response body is larger than
    ///        this number of bytes; 0 means no limit.
    /// \pre is_idle()
    auto call(std::string request, bool has_no_body, call_hooks hooks,
              std::uint64_t largest_body = 0) -> void;

    /// Cancels the call and closes the connection; no further hook is called.
    auto cancel() -> void;

    /// Compares a complete answer with all earlier ones and records it. Closes
    /// the connection if the answer is not the one to the call, or if a copy of
    /// it could be taken for a later answer.
    /// \return http1_errc::foreign_answer or http1_errc::repeated_answer if it
    ///         is not the one to the call.
    auto check_answer(const answer_identity& identity) -> std::error_code;

    /// \return Whether an answer with this value was recorded.
    [[nodiscard]] auto has_carried(const std::string& value) const -> bool;

    [[nodiscard]] auto is_idle() const -> bool;
    [[nodiscard]] auto is_open() const -> bool;

    /// \return Whether the connection is open and the last response allows
    ///         another call on it.
    [[nodiscard]] auto is_reusable() const -> bool;

    /// \return The timeout of the server's Keep-Alive field; 0 s if none.
    [[nodiscard]] auto announced_idle_timeout() const -> std::chrono::seconds;

    auto pause_reading() -> void;
    auto resume_reading() -> void;

private:
    auto on_bytes(std::string_view bytes) -> void;
    auto on_end(std::error_code error) -> void;
    auto finish(std::error_code error) -> void;
    auto on_body(std::string_view bytes) -> void;
    [[nodiscard]] auto is_too_large() const -> bool;

    std::shared_ptr<event::tcp_stream> stream;
    std::unique_ptr<response_parser> parser;
    std::shared_ptr<const call_hooks> hooks;
    answer_history answers;
    std::chrono::seconds announced_timeout{0};
    std::uint64_t body_bytes = 0;
    std::uint64_t body_limit = 0;
    bool reusable = true;
};

} // namespace almondtiller::http1
