#pragma once

#include "core/clock.h"

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>

namespace almondtiller::services {

/// The bytes of requests that the connections of a server hold together.
/// Thread-safe.
class request_bytes
{
public:
    /// \param max_bytes Bound of all requests together.
    /// \param max_request_bytes Bytes of one request that can be held.
    request_bytes(std::size_t max_bytes, std::size_t max_request_bytes);

    [[nodiscard]] auto max_bytes_of_one() const -> std::size_t;

    /// \return False if the bytes would exceed the bound; they are not added.
    auto add(std::size_t bytes) -> bool;
    auto remove(std::size_t bytes) -> void;

private:
    const std::size_t max_bytes;
    const std::size_t max_request_bytes;
    std::atomic<std::size_t> held = 0;
};

/// A caller's connection with a time limit for each whole request, so that a
/// sender that trickles bytes is cut off. Used by one thread; waits in real
/// time.
class connection_stream : public httplib::Stream
{
public:
    /// \param held Outlives the stream.
    connection_stream(const core::runtime_clock& clock, socket_t socket,
                      std::chrono::milliseconds write_timeout,
                      request_bytes& held);
    ~connection_stream() override;
    connection_stream(const connection_stream&) = delete;
    auto operator=(const connection_stream&) -> connection_stream& = delete;

    /// Waits until bytes arrive or \a wake_descriptor is readable.
    /// \return Whether bytes arrived.
    auto wait_for_bytes(std::chrono::milliseconds time, int wake_descriptor)
        -> bool;

    /// Starts the time limit for reading a request.
    auto begin_request(std::chrono::milliseconds time) -> void;

    /// Ends the account of the request's bytes.
    auto end_request() -> void;

    /// Whether a request was cut off because all connections hold too much.
    [[nodiscard]] auto was_refused() const -> bool;

    /// Whether the time limit of a request has run out.
    [[nodiscard]] auto was_too_slow() const -> bool;

    [[nodiscard]] auto is_readable() const -> bool override;
    [[nodiscard]] auto is_writable() const -> bool override;
    auto read(char* target, std::size_t size) -> ssize_t override;
    auto write(const char* source, std::size_t size) -> ssize_t override;
    auto get_remote_ip_and_port(std::string& ip, int& port) const
        -> void override;
    auto get_local_ip_and_port(std::string& ip, int& port) const
        -> void override;
    [[nodiscard]] auto socket() const -> socket_t override;

private:
    /// \return False if too much is held.
    auto account(std::size_t bytes) -> bool;
    auto receive(char* target, std::size_t size) -> ssize_t;

    const core::runtime_clock& clock;
    socket_t descriptor;
    std::chrono::milliseconds write_timeout;
    core::time_point read_deadline;
    bool too_slow = false;
    request_bytes& all_held;
    /// Bytes of the current request, and those of them in all_held.
    std::size_t received = 0;
    std::size_t accounted = 0;
    bool refused = false;
    std::array<char, 16384> buffer;
    std::size_t buffered = 0;
    std::size_t consumed = 0;
};

/// \return Whether the other side has closed its half of the connection.
[[nodiscard]] auto is_closed_by_peer(socket_t socket) -> bool;

} // namespace almondtiller::services
