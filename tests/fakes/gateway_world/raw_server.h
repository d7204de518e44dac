#pragma once

#include "event/event.h"
#include "http1/parser.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::gateway_world {

class raw_connection;

/// How the end of an answer is marked.
enum class answer_framing
{
    chunks,
    length,
    connection, ///< The answer ends with its connection.
};

/// A request that has reached a raw_server, and the answer to it.
class raw_exchange
{
public:
    explicit raw_exchange(std::shared_ptr<raw_connection> connection);

    /// Sends a complete answer with a length.
    auto respond(int status, const http1::header_list& headers,
                 std::string_view body) -> void;

    /// Starts an answer whose body is sent in parts.
    /// \param length Size of the body; used with answer_framing::length only.
    auto start(int status, const http1::header_list& headers,
               answer_framing framing, std::size_t length = 0) -> void;
    auto send(std::string_view piece) -> void;
    auto finish() -> void;

    /// Makes the connection send an answer before that to its next request.
    /// \param target Waits for a request with this target; any if empty.
    auto send_late(int status, const http1::header_list& headers,
                   std::string_view body, std::string target = {}) -> void;

    /// Closes the connection within the answer, with a reset if the answer
    /// would look complete otherwise.
    auto abort() -> void;

    [[nodiscard]] auto pending_bytes() const -> std::size_t;
    [[nodiscard]] auto is_started() const -> bool;
    [[nodiscard]] auto is_finished() const -> bool;

private:
    friend class raw_connection;

    std::shared_ptr<raw_connection> connection;
    /// Empty until the answer is started.
    std::optional<answer_framing> framing;
};

/// An HTTP server on a free port of the loopback address whose answers may have
/// neither a length nor chunks, and may end with a reset.
class raw_server
{
public:
    using handler = std::function<void(http1::request_message,
                                       std::shared_ptr<raw_exchange>)>;

    raw_server(event::loop& event_loop, handler on_request);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    auto operator=(const raw_server&) -> raw_server& = delete;

    [[nodiscard]] auto address() const -> core::endpoint;

    /// Closes every connection and the listener.
    auto close() -> void;

    /// Listens, after close() or block() at the same address.
    auto listen() -> void;

    /// Closes every connection and lets new ones wait, as a process does that
    /// stands still until its queue of connections is full.
    auto block() -> void;

    /// Accepts no connections until go_on(); open ones stay. The kernel still
    /// completes two, and the others wait.
    auto stand_still() -> void;
    auto go_on() -> void;

private:
    struct listener;
    auto unblock() -> void;
    auto on_accept(std::shared_ptr<event::tcp_stream> stream, int descriptor)
        -> void;

    event::loop& event_loop;
    handler on_request;
    listener* open_listener = nullptr;
    bool is_still = false;
    /// Sockets of a listener whose queue is full.
    std::vector<int> blocked;
    std::uint16_t port = 0;
    std::set<std::shared_ptr<raw_connection>> connections;
};

} // namespace almondtiller::gateway_world
