#pragma once

#include "core/clock.h"
#include "h2/h2_session.h"

#include <functional>
#include <memory>
#include <string>

namespace almondtiller::services {

using h2::h2_request;

/// Bytes that this node exchanged with peers.
struct transport_traffic
{
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;

    auto operator==(const transport_traffic&) const -> bool = default;
};

/// Calls between nodes over HTTP/2 on TCP. One connection to each called peer
/// is opened on demand and closed when idle. One thread does all the I/O;
/// call() may be used from any thread.
class peer_transport
{
public:
    using reply_handler = std::function<void(core::result<std::string>)>;
    /// Called on the I/O thread; must not block. The reply handler may be
    /// called later and on any thread.
    using request_hook = std::function<void(h2_request, reply_handler)>;

    peer_transport(const core::runtime_clock& clock, std::string sender,
                   request_hook on_request);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    auto operator=(const peer_transport&) -> peer_transport& = delete;

    /// Binds \a port, or any free port if it is 0.
    /// \return The bound port, or fleet_errc::address_unavailable.
    auto bind(const std::string& address, int port) -> core::result<int>;

    /// Starts accepting connections of peers.
    auto accept() -> void;

    /// Sends a request; \a reply is called exactly once, on the I/O thread.
    auto call(const std::string& peer_address, const std::string& topic,
              const std::string& body, core::milliseconds timeout,
              reply_handler reply) -> void;

    /// Fails every call with fleet_errc::shutting_down and joins the I/O
    /// thread. Idempotent.
    auto stop() -> void;

    [[nodiscard]] auto traffic() const -> transport_traffic;

private:
    struct state;
    std::shared_ptr<state> data;
};

} // namespace almondtiller::services
