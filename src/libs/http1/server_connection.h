#pragma once

#include "event/tcp_stream.h"
#include "event/timer.h"
#include "http1/parser.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondtiller::http1 {

class server_connection;

/// One request of a client and the response to it. Only one response can be
/// started; later calls of respond() and start() are ignored.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    explicit exchange(std::shared_ptr<server_connection> connection);

    /// Sends a complete response.
    auto respond(int status, const header_list& headers, std::string_view body)
        -> void;

    /// Starts a response whose body is sent in parts. It has a Content-Length
    /// if \a length is set and uses chunked encoding otherwise.
    auto start(int status, const header_list& headers,
               std::optional<std::uint64_t> length) -> void;
    auto send(std::string_view piece) -> void;
    auto finish() -> void;

    /// Closes the connection without completing the response.
    auto abort() -> void;

    /// \param action Called once if the connection closes before the response
    ///        is complete; not called after abort().
    auto on_gone(std::function<void()> action) -> void;

    /// \return The number of response bytes not yet passed to the kernel.
    [[nodiscard]] auto pending_bytes() const -> std::size_t;
    auto on_drained(std::function<void()> action) -> void;

    [[nodiscard]] auto is_started() const -> bool;
    [[nodiscard]] auto is_finished() const -> bool;

private:
    friend class server_connection;
    auto write_head(int status, const header_list& headers) -> std::string;
    auto complete() -> void;

    std::shared_ptr<server_connection> connection;
    std::function<void()> disconnect_action;
    bool started = false;
    bool finished = false;
    bool chunked = false;
};

/// Options and callbacks shared by the connections of one listener.
struct server_options
{
    std::function<void(request_message, std::shared_ptr<exchange>)> on_request;
    /// Returns the limits in force, which apply to a request that begins now.
    std::function<parser_limits()> limits;
    std::function<core::milliseconds()> header_timeout;
    std::function<core::milliseconds()> idle_timeout;
    /// While it returns true, connections are closed after the response.
    std::function<bool()> is_draining;
    /// Called once, when the connection is closed. The owner may drop it then.
    std::function<void(const std::shared_ptr<server_connection>&)> on_closed;
    /// Called before a connection is closed because no request arrived in time.
    /// \param idle_for Time since the last response or since the connection was
    ///        accepted.
    std::function<void(core::duration idle_for)> on_idle_timeout;
    /// Called when a request is rejected as invalid, too large or incomplete.
    std::function<void(std::error_code)> on_bad_request;
};

/// A client's connection. Requests are processed one at a time; pipelined
/// requests wait.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(event::loop& event_loop,
                      std::shared_ptr<event::tcp_stream> stream,
                      std::shared_ptr<const server_options> options);

    auto start() -> void;

    /// Closes the connection if no request is being processed or read.
    auto close_if_idle() -> void;

    auto close() -> void;

private:
    friend class exchange;
    auto on_bytes(std::string_view bytes) -> void;
    auto on_end() -> void;
    auto read_next() -> void;
    auto reject(std::error_code error) -> void;
    auto on_exchange_finished(bool keep_alive) -> void;
    /// Closes the connection once all bytes of its last answer are sent.
    auto finish_sending() -> void;
    auto restart_timer() -> void;
    [[nodiscard]] auto timeout_in_force() const -> core::milliseconds;
    auto on_timeout() -> void;

    event::loop& event_loop;
    std::shared_ptr<event::tcp_stream> stream;
    std::shared_ptr<const server_options> options;
    request_parser parser;
    std::shared_ptr<exchange> current;
    event::timer timeout;
    /// When the last response ended, the connection was accepted, or the
    /// request that is being read began.
    core::time_point waiting_since;
    bool keep_alive = true;
    bool is_closed = false;
    /// Whether the connection only waits for its bytes to be sent.
    bool is_finishing = false;
    bool is_reading_request = false;
};

} // namespace almondtiller::http1
