#pragma once

#include "core/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondtiller::h2 {

/// Maximum size of the body of a request or response between peers.
constexpr auto max_peer_body_bytes = std::size_t(2) << 20U;

/// Maximum number of concurrent requests on one connection.
constexpr auto max_peer_streams = std::size_t(256);

enum class h2_role
{
    client,
    server,
};

/// A request from one node to another.
struct h2_request
{
    std::string topic;
    std::string sender;
    std::string body;

    auto operator==(const h2_request&) const -> bool = default;
};

/// Callbacks of a session; called from within receive().
struct h2_hooks
{
    /// On servers: called when a request has been received completely.
    std::function<void(std::int32_t stream, h2_request request)> on_request;
    /// On clients: called with the response or the error of a request.
    std::function<void(std::int32_t stream, core::result<std::string> answer)>
        on_answer;
    /// On servers: called when a stream closes before its request is answered.
    std::function<void(std::int32_t stream)> on_cancelled = {};
};

/// The protocol state of one HTTP/2 connection. The user transfers the bytes
/// between the session and a socket. Not thread-safe.
class h2_session
{
public:
    h2_session(h2_role role, h2_hooks hooks);
    ~h2_session();
    h2_session(const h2_session&) = delete;
    auto operator=(const h2_session&) -> h2_session& = delete;

    /// Processes bytes received from the peer.
    /// \return fleet_errc::malformed_message if the connection must be closed.
    auto receive(std::string_view bytes) -> std::error_code;

    /// \return The bytes to send to the peer; empty if there are none.
    auto take_output() -> std::string;

    /// \return The stream id, or fleet_errc::too_many_calls,
    ///         fleet_errc::message_too_large or fleet_errc::peer_unreachable.
    auto submit_request(const h2_request& request)
        -> core::result<std::int32_t>;

    /// Sends the response to a request; ignored if the stream has been closed.
    auto submit_answer(std::int32_t stream,
                       const core::result<std::string>& answer) -> void;

    /// \return The number of bytes of messages that are received in part or not
    ///         yet sent.
    [[nodiscard]] auto held_bytes() const -> std::size_t;

    /// Resets a stream; its response is not reported.
    auto cancel(std::int32_t stream) -> void;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::h2
