#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace almondtiller::event {

class loop;

/// One TCP connection. Its hooks are called on the loop's thread and never
/// from within a call on the stream.
class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    struct state;

    explicit tcp_stream(state* adopted);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    auto operator=(const tcp_stream&) -> tcp_stream& = delete;

    /// Connects to \a address.
    /// \param on_connected Called with the stream, or with null and the error
    ///        (std::errc::timed_out after \a timeout).
    using connect_hook =
        std::function<void(std::shared_ptr<tcp_stream>, std::error_code)>;
    static auto connect(loop& event_loop, const core::endpoint& address,
                        core::milliseconds timeout, connect_hook on_connected)
        -> void;

    /// Limits the buffers of the kernel for the connection; they otherwise grow
    /// with the traffic.
    /// \param bytes Size of each of the two buffers.
    auto limit_buffers(int bytes) -> void;

    /// \return The IP address of the peer; empty if it is not known.
    [[nodiscard]] auto peer_address() const -> std::string;

    /// \return The number of bytes that the kernel has taken so far. It grows
    ///         while a large write is being sent.
    [[nodiscard]] auto sent_bytes() const -> std::uint64_t;

    /// Starts reading.
    /// \param on_bytes Called with received bytes; the view is valid only
    ///        during the call.
    /// \param on_end Called once when the peer has closed the connection (no
    ///        error) or the connection has failed; not called after close().
    auto start(std::function<void(std::string_view)> on_bytes,
               std::function<void(std::error_code)> on_end) -> void;

    /// Sends \a bytes; queues the part that the kernel does not take at once.
    auto write(std::string bytes) -> void;

    /// \return The number of queued bytes not yet passed to the kernel.
    [[nodiscard]] auto pending_bytes() const -> std::size_t;

    /// \return The bytes passed to write() that the peer's system has not
    ///         acknowledged.
    [[nodiscard]] auto unacknowledged_bytes() const -> std::size_t;

    /// Calls \a action once, when the write queue has been sent.
    auto on_drained(std::function<void()> action) -> void;

    auto pause_reading() -> void;
    auto resume_reading() -> void;

    /// Closes the connection after the write queue has been sent.
    auto close_when_sent() -> void;

    /// Closes the connection at once; queued bytes may be lost.
    auto close() -> void;

    [[nodiscard]] auto is_open() const -> bool;

private:
    state* data;
};

} // namespace almondtiller::event
