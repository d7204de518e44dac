#pragma once

#include "kernel/service.h"

namespace almondtiller::fleet {
class config_source;
class peer_bus;
} // namespace almondtiller::fleet

namespace almondtiller::core {
class runtime_clock;
} // namespace almondtiller::core

namespace almondtiller::services {

class node_service;

/// The name of the leave service.
constexpr auto leave_service_name = "leave";

/// The first steps of a graceful shutdown: announces that this node leaves,
/// serves on for longer than callers keep an endpoint answer, then refuses
/// new requests. It depends on the service "entry", so that the kernel runs
/// these steps before entry waits for the requests under way.
class leave_service : public kernel::service
{
public:
    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;
    auto about_to_shutdown() -> void override;

private:
    const core::runtime_clock* clock = nullptr;
    fleet::peer_bus* peers = nullptr;
    fleet::config_source* config = nullptr;
    node_service* node = nullptr;
};

} // namespace almondtiller::services
