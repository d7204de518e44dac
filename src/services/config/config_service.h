#pragma once

#include "fleet/config_source.h"
#include "kernel/service.h"
#include "kernel/status_provider.h"

#include <memory>

namespace almondtiller::services {

/// Keeps the configuration in force at this node up to date.
class config_service : public kernel::service,
                       public kernel::status_provider,
                       public fleet::config_source
{
public:
    config_service();
    ~config_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;
    auto about_to_shutdown() -> void override;

    [[nodiscard]] auto current() const -> settings::snapshot_ptr override;
    auto on_change(change_handler handler) -> void override;
    [[nodiscard]] auto status() const -> std::string override;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::services
