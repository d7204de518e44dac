#pragma once

#include "event/tcp_stream.h"
#include "http1/parser.h"

#include <functional>
#include <memory>

namespace almondtiller::http1 {

/// What a call tells its owner. on_done is the last one and called once.
struct call_hooks
{
    std::function<void(response_head)> on_head;
    std::function<void(std::string_view)> on_body;
    /// No error: the answer is whole.
    std::function<void(std::error_code)> on_done;
};

/// A connection to a server that carries one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    explicit client_connection(std::shared_ptr<event::tcp_stream> stream);

    auto start() -> void;

    /// Sends a request.
    /// \param largest_body A longer body fails the call; 0: any length.
    /// \pre is_idle()
    auto call(std::string request, bool has_no_body, call_hooks hooks,
              std::uint64_t largest_body = 0) -> void;

    /// Gives the call up and closes; no hook is called any more.
    auto cancel() -> void;

    [[nodiscard]] auto is_idle() const -> bool;
    [[nodiscard]] auto is_open() const -> bool;

    /// \return Whether the last answer allows another call.
    [[nodiscard]] auto is_reusable() const -> bool;

    /// \return The idle time that the server has announced, 0 s if none.
    [[nodiscard]] auto announced_idle() const -> std::chrono::seconds;

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
    std::chrono::seconds idle_limit{0};
    std::uint64_t body_bytes = 0;
    std::uint64_t most_body_bytes = 0;
    bool reusable = true;
};

} // namespace almondtiller::http1
