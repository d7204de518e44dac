#pragma once

#include "fleet/gossip_channel.h"
#include "fleet/peer_bus.h"
#include "kernel/service.h"
#include "kernel/status_provider.h"

#include <memory>

namespace almondtiller::services {

/// Settings of the communication between nodes.
struct peers_options
{
    std::string address = "127.0.0.1"; ///< IP address.
    int port = 0;                      ///< 0 for any free port.

    auto operator==(const peers_options&) const -> bool = default;
};

/// Maintains the list of the other nodes and exchanges messages with them.
class peers_service : public kernel::service,
                      public kernel::status_provider,
                      public fleet::peer_bus,
                      public fleet::gossip_channel
{
public:
    explicit peers_service(peers_options options = {});
    ~peers_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;
    auto about_to_shutdown() -> void override;

    [[nodiscard]] auto self() const -> fleet::member override;
    [[nodiscard]] auto members() const -> std::vector<fleet::member> override;
    auto on_members_changed(members_handler handler) -> void override;
    auto call(const core::node_id& target, const std::string& topic,
              const std::string& body, core::milliseconds timeout,
              reply_handler reply) -> void override;
    auto handle(const std::string& topic, request_handler handler)
        -> void override;
    auto announce_leaving() -> void override;

    auto set_contacts(const std::vector<fleet::member>& contacts)
        -> void override;
    auto set_config_status_source(config_status_source source) -> void override;
    auto on_config_status(config_status_handler handler) -> void override;

    [[nodiscard]] auto status() const -> std::string override;

    /// \return The port bound for peers.
    [[nodiscard]] auto peer_port() const -> int;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::services
