#pragma once

#include "fleet/upstream_directory.h"
#include "kernel/service.h"

#include <memory>

namespace almondtiller::services {

/// Keeps the list of upstream instances up to date.
class directory_service : public kernel::service,
                          public fleet::upstream_directory
{
public:
    directory_service();
    ~directory_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;
    auto about_to_shutdown() -> void override;

    [[nodiscard]] auto upstreams() const
        -> std::vector<platform::instance> override;
    auto on_change(change_handler handler) -> void override;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::services
