#pragma once

#include "core/clock.h"

#include <httplib.h>

#include <array>
#include <chrono>

namespace almondtiller::services {

/// A caller's connection with a time limit for each whole request, so that a
/// sender that trickles bytes is cut off. Used by one thread; waits in real
/// time.
class connection_stream : public httplib::Stream
{
public:
    connection_stream(const core::runtime_clock& clock, socket_t socket,
                      std::chrono::milliseconds write_timeout);

    /// Waits until bytes arrive or \a wake_descriptor is readable.
    /// \return Whether bytes arrived.
    auto wait_for_bytes(std::chrono::milliseconds time, int wake_descriptor)
        -> bool;

    /// Starts the time limit for reading a request.
    auto begin_request(std::chrono::milliseconds time) -> void;

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
    auto receive(char* target, std::size_t size) -> ssize_t;

    const core::runtime_clock& clock;
    socket_t descriptor;
    std::chrono::milliseconds write_timeout;
    core::time_point read_deadline;
    bool too_slow = false;
    std::array<char, 16384> buffer;
    std::size_t buffered = 0;
    std::size_t consumed = 0;
};

/// \return Whether the other side has closed its half of the connection.
[[nodiscard]] auto is_closed_by_peer(socket_t socket) -> bool;

} // namespace almondtiller::services
