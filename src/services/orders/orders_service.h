#pragma once

#include "kernel/service.h"
#include "kernel/status_provider.h"

#include <memory>

namespace almondtiller::services {

/// The name of the orders service.
constexpr auto orders_service_name = "orders";

/// Competes for the lease of this node's region and, while it holds it, gives
/// the region's engines the orders that bring them to the declared models.
/// Works on one thread of its own.
class orders_service : public kernel::service, public kernel::status_provider
{
public:
    orders_service();
    ~orders_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;
    auto about_to_shutdown() -> void override;

    [[nodiscard]] auto status() const -> std::string override;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::services
