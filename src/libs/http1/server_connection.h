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

/// What a connection does.
enum class connection_phase
{
    idle,    ///< No request, or only a response that is not read.
    reading, ///< A request is being read.
    running, ///< A request was passed to the server_options' hook.
};

/// What a connection holds.
struct connection_load
{
    connection_phase phase = connection_phase::idle;
    std::size_t bytes = 0;

    auto operator==(const connection_load&) const -> bool = default;
};

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

    /// Reports bytes that are held for the response outside of the connection.
    /// \param bytes All bytes held at present.
    /// \return False if they must not be held; the request then has to end.
    [[nodiscard]] auto hold(std::size_t bytes) -> bool;

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
    /// Responds to a complete request that may not run because too much is
    /// held. If it is empty, the response is 503 with Retry-After.
    std::function<void(const request_message&,
                       const std::shared_ptr<exchange>&)>
        on_refused;
    /// Called before a connection is closed because its response is not read.
    std::function<void()> on_unread;
};

/// A client's connection. Requests are processed one at a time; pipelined
/// requests wait.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(event::loop& event_loop,
                      std::shared_ptr<event::tcp_stream> stream,
                      std::shared_ptr<const server_options> options);

    /// \param on_load Called when the load has changed by min_reported_bytes or
    ///        in its phase. If it returns false, the request is refused, or
    ///        exchange::hold() fails.
    auto start(std::function<bool(const connection_load&)> on_load = {})
        -> void;

    /// Ends the connection because there are too many or they hold too much. A
    /// request that was not passed on is refused as not run.
    auto end_for_overload() -> void;

    /// Closes the connection if no request is being processed or read.
    auto close_if_idle() -> void;

    auto close() -> void;

private:
    friend class exchange;
    auto on_bytes(std::string_view bytes) -> void;
    auto on_end() -> void;
    auto read_next() -> void;
    /// Reads the next pipelined request once its turn has come.
    auto continue_reading() -> void;
    auto run(request_message request) -> void;
    auto refuse() -> void;
    /// Reports the load if it has changed enough.
    auto report_load() -> bool;
    auto end_if_overloaded() -> void;
    [[nodiscard]] auto load() const -> connection_load;
    /// Watches whether a response is read.
    auto on_written() -> void;
    auto check_unread() -> void;
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
    std::function<bool(const connection_load&)> on_load;
    connection_load reported;
    /// Bytes that the request in progress holds elsewhere.
    std::size_t request_bytes = 0;
    std::size_t held_bytes = 0;
    /// Runs while bytes are unsent.
    event::timer unread_timer;
    bool is_watching = false;
    std::uint64_t last_sent = 0;
    core::time_point unread_since;
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
