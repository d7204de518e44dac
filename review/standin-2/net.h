#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// One HTTP/1.1 message: a request or the head of an answer with its body.
struct message
{
    /// The request line or the status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] auto header(std::string_view name) const -> std::string;
    /// Parts of a request line.
    [[nodiscard]] auto method() const -> std::string;
    [[nodiscard]] auto target() const -> std::string;
    /// Status of an answer.
    [[nodiscard]] auto status() const -> int;
};

/// A connected TCP socket with a read buffer.
class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;

    /// Connects to a port of the loopback address.
    /// \return nullptr if the connection fails.
    static auto open(std::uint16_t port) -> std::unique_ptr<connection>;

    auto write(std::string_view bytes) -> bool;
    /// Reads once into the buffer. \return False at the end or on an error.
    auto fill() -> bool;
    [[nodiscard]] auto buffer() -> std::string&;
    /// Reads a message with its body, which has a length or is chunked.
    auto read_message() -> std::optional<message>;
    /// Reads up to the end of a head. The body stays in the buffer.
    auto read_head() -> std::optional<message>;
    /// Reads the body that follows \a head.
    auto read_body(const message& head, std::string& body) -> bool;
    /// Reads chunked bytes; \a on_piece gets each chunk.
    auto read_chunks(const std::function<void(std::string_view)>& on_piece)
        -> bool;
    auto set_timeout(milliseconds limit) -> void;
    auto set_receive_buffer(int bytes) -> void;
    /// Ends both directions, also for a thread that is blocked in it.
    auto shut() -> void;
    /// Closes with a reset.
    auto reset() -> void;
    [[nodiscard]] auto is_closed_by_peer() const -> bool;

private:
    int descriptor;
    std::string bytes_read;
};

/// Serves connections on a port of the loopback address, each in a thread.
class server
{
public:
    using handler = std::function<void(connection&)>;

    explicit server(handler on_connection);
    ~server();
    server(const server&) = delete;
    auto operator=(const server&) -> server& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Stops listening and ends all connections, as a crash does.
    auto stop() -> void;

private:
    struct shared_state;

    std::uint16_t own_port = 0;
    std::shared_ptr<shared_state> data;
    std::thread acceptor;
};

/// \return A free port of the loopback address that stays reserved.
[[nodiscard]] auto free_port() -> std::uint16_t;

/// \return The text of an answer with a body of known length.
[[nodiscard]] auto
answer_text(int status,
            const std::vector<std::pair<std::string, std::string>>& headers,
            std::string_view body) -> std::string;

/// Writes lines with the time since the start to the record.
class record
{
public:
    explicit record(const std::string& path);
    auto line(const std::string& text) -> void;
    [[nodiscard]] auto elapsed() const -> milliseconds;

private:
    std::mutex mutex;
    std::ofstream target;
    clock::time_point started = clock::now();
};

} // namespace review
