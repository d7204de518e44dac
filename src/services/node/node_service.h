#pragma once

#include "fleet/member.h"
#include "kernel/service.h"

#include <atomic>

namespace almondtiller::services {

/// The name of the node service.
constexpr auto node_service_name = "node";

/// Who this process is, and whether it is leaving.
class node_service : public kernel::service
{
public:
    explicit node_service(fleet::member identity);

    [[nodiscard]] auto name() const -> std::string_view override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;

    [[nodiscard]] auto identity() const -> const fleet::member&;

    /// Whether a graceful shutdown has begun.
    [[nodiscard]] auto is_leaving() const -> bool;
    auto set_leaving() -> void;

private:
    fleet::member self;
    std::atomic<bool> leaving = false;
};

} // namespace almondtiller::services
