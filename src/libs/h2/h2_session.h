#pragma once

#include "core/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondtiller::h2 {

/// The largest body of a message between peers.
constexpr auto max_peer_body_bytes = std::size_t(2) << 20U;

/// Messages under way on one connection, at most.
constexpr auto max_peer_streams = std::size_t(256);

enum class h2_role
{
    client,
    server,
};

/// A message from one node to another.
struct h2_request
{
    std::string topic;
    std::string sender;
    std::string body;

    auto operator==(const h2_request&) const -> bool = default;
};

/// What a session tells its owner; called from within receive().
struct h2_hooks
{
    /// Servers: a request is whole.
    std::function<void(std::int32_t stream, h2_request request)> on_request;
    /// Clients: a request has ended.
    std::function<void(std::int32_t stream, core::result<std::string> answer)>
        on_answer;
    /// Servers: the peer has given up a request that is not answered yet.
    std::function<void(std::int32_t stream)> on_cancelled = {};
};

/// One HTTP/2 connection without its socket: bytes in, bytes out. Not
/// thread-safe.
class h2_session
{
public:
    h2_session(h2_role role, h2_hooks hooks);
    ~h2_session();
    h2_session(const h2_session&) = delete;
    auto operator=(const h2_session&) -> h2_session& = delete;

    /// Takes bytes from the peer.
    /// \return fleet_errc::malformed_message when the connection must close.
    auto receive(std::string_view bytes) -> std::error_code;

    /// \return Bytes for the peer; empty when there are none.
    auto take_output() -> std::string;

    /// \return The stream, or fleet_errc::too_many_calls or
    ///         fleet_errc::message_too_large.
    auto submit_request(const h2_request& request)
        -> core::result<std::int32_t>;

    /// Answers a request; streams that are gone are ignored.
    auto submit_answer(std::int32_t stream,
                       const core::result<std::string>& answer) -> void;

    /// Gives a stream up; its answer is not reported.
    auto cancel(std::int32_t stream) -> void;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::h2
