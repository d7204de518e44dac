#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

/// \return Milliseconds since the program started.
auto elapsed_ms() -> std::int64_t;

auto sleep_for(ms time) -> void;

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request or an answer.
struct message
{
    /// First line, without its end.
    std::string start;
    header_list headers;
    std::string body;

    /// \return The value of the first header of that name; empty if absent.
    [[nodiscard]] auto find(std::string_view name) const -> std::string;
    [[nodiscard]] auto has(std::string_view name) const -> bool;
    [[nodiscard]] auto method() const -> std::string;
    [[nodiscard]] auto target() const -> std::string;
    /// \return The status of an answer; 0 if the first line has none.
    [[nodiscard]] auto status() const -> int;
};

/// A blocking TCP connection on the loopback address.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;

    /// \return Nothing if no connection is made within \a limit.
    /// \param buffer_bytes Size of the receive buffer; the system's own if 0.
    static auto open(std::uint16_t port, ms limit = ms(1000),
                     int buffer_bytes = 0) -> std::unique_ptr<connection>;

    auto set_read_limit(ms limit) -> void;
    auto send(std::string_view bytes) -> bool;

    /// \return The next request; nothing at the end of the connection.
    auto read_request() -> std::optional<message>;
    /// Reads the next answer.
    /// \param has_body False for the answer to a HEAD request.
    /// \return Nothing if the connection ended before the answer was complete,
    ///         or the bytes are no answer; see rest().
    auto read_answer(bool has_body = true) -> std::optional<message>;

    /// \return Bytes that were received and not yet used.
    [[nodiscard]] auto rest() const -> const std::string&;
    /// Waits for bytes beyond the ones that are held.
    auto read_more() -> bool;
    /// \return Whether the peer has closed or reset the connection.
    [[nodiscard]] auto is_ended() const -> bool;
    /// Ends reads and writes in all threads.
    auto shut() -> void;
    /// Makes the end of the connection a reset.
    auto reset_on_close() -> void;

    /// Bytes that the owner of the connection keeps for later.
    std::string kept;

private:
    auto read_head(message& into) -> bool;
    auto take_line() -> std::optional<std::string>;
    auto take(std::size_t size) -> std::optional<std::string>;
    auto read_chunks(message& into) -> bool;

    int descriptor;
    std::string buffer;
    std::atomic<bool> has_ended = false;
};

/// A server on a free port of the loopback address, with one thread for each
/// connection.
class server
{
public:
    using handler = std::function<void(connection&)>;

    explicit server(handler on_connection);
    ~server();
    server(const server&) = delete;
    auto operator=(const server&) -> server& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Closes the listener and every connection.
    auto stop() -> void;

private:
    auto accept_loop() -> void;

    handler handle;
    int listener = -1;
    std::uint16_t bound_port = 0;
    std::mutex guard;
    bool is_stopped = false;
    std::set<connection*> open_connections;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// \return A port of the loopback address that stays reserved for a process
///         started later: it is bound here without listening.
auto reserve_port() -> std::uint16_t;

auto encode(const std::string& start, const header_list& headers,
            std::string_view body) -> std::string;
auto encode_answer(int status, const header_list& headers,
                   std::string_view body) -> std::string;

} // namespace review
