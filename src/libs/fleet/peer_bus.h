#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "fleet/member.h"

#include <functional>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// Request and response messages between nodes. Bodies are bytes (CBOR by
/// convention); each topic has one handler per node. Implemented by the service
/// "peers".
class peer_bus
{
public:
    using reply_handler = std::function<void(core::result<std::string>)>;
    using request_handler = std::function<core::result<std::string>(
        const core::node_id& sender, const std::string& body)>;
    using members_handler = std::function<void(const std::vector<member>&)>;

    peer_bus() = default;
    virtual ~peer_bus() = default;
    peer_bus(const peer_bus&) = delete;
    auto operator=(const peer_bus&) -> peer_bus& = delete;

    [[nodiscard]] virtual auto self() const -> member = 0;

    /// \return All members except dead ones, including this node, sorted by id.
    [[nodiscard]] virtual auto members() const -> std::vector<member> = 0;

    /// Calls \a handler after each change of the members, on any thread.
    virtual auto on_members_changed(members_handler handler) -> void = 0;

    /// Sends a request; \a reply is called exactly once, on any thread.
    virtual auto call(const core::node_id& target, const std::string& topic,
                      const std::string& body, core::milliseconds timeout,
                      reply_handler reply) -> void = 0;

    /// Registers the handler of a topic. Must be called before the services are
    /// started.
    virtual auto handle(const std::string& topic, request_handler handler)
        -> void = 0;

    /// Announces to the peers that this node is leaving. Idempotent.
    virtual auto announce_leaving() -> void = 0;
};

/// The name of the service that implements peer_bus.
constexpr auto peers_service_name = "peers";

} // namespace almondtiller::fleet
