#pragma once

#include "fleet/peer_bus.h"
#include "kernel/service.h"

#include <string>
#include <vector>

namespace almondtiller::claims_bench {

/// Peers of a node that runs without a transport: the members are given.
class lone_peers : public kernel::service, public fleet::peer_bus
{
public:
    explicit lone_peers(std::vector<fleet::member> members);

    [[nodiscard]] auto name() const -> std::string_view override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    [[nodiscard]] auto self() const -> fleet::member override;
    [[nodiscard]] auto members() const -> std::vector<fleet::member> override;
    auto on_members_changed(members_handler handler) -> void override;
    auto call(const core::node_id& target, const std::string& topic,
              const std::string& body, core::milliseconds timeout,
              reply_handler reply) -> void override;
    auto handle(const std::string& topic, request_handler handler)
        -> void override;
    auto announce_leaving() -> void override;

private:
    std::vector<fleet::member> known;
};

} // namespace almondtiller::claims_bench
