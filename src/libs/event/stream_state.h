#pragma once

#include "event/tcp_stream.h"

#include <uv.h>

#include <deque>

namespace almondtiller::event {

/// Freed when libuv has closed the handle; the stream object may be destroyed
/// earlier.
struct tcp_stream::state
{
    uv_tcp_t handle{};
    loop* event_loop = nullptr;
    std::function<void(std::string_view)> on_bytes;
    std::function<void(std::error_code)> on_end;
    std::function<void()> on_drained;
    std::size_t pending = 0;
    /// Bytes passed to write() so far.
    std::uint64_t written = 0;
    /// Why a write has failed; none if all have succeeded.
    std::error_code write_error;
    bool is_closing = false;
    bool closes_when_sent = false;
    bool is_ended = false;
    bool is_reading = false;

    auto stream() -> uv_stream_t*
    {
        return reinterpret_cast<uv_stream_t*>(&this->handle);
    }
    auto close() -> void;
    auto end(std::error_code error) -> void;
};

/// Sets the options of every connection: TCP_NODELAY, keep-alive probes and the
/// time limit for unacknowledged data.
auto set_socket_options(uv_tcp_t& handle) -> void;

/// Converts a negative libuv status to an error of the generic category.
[[nodiscard]] auto to_error_code(int status) -> std::error_code;

} // namespace almondtiller::event
