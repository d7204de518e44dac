#pragma once

#include "kernel/service.h"
#include "services/operator_api/status_document.h"

#include <functional>

namespace almondtiller::fleet {
class config_source;
} // namespace almondtiller::fleet

namespace almondtiller::services {

class node_service;

/// The name of the service that answers operators.
constexpr auto operator_api_service_name = "operator_api";

/// GET /v1/status, GET /v1/top and POST /v1/drain; see docs/PROTOCOLS.md.
class operator_api_service : public kernel::service
{
public:
    /// \param begin_drain Starts the graceful shutdown of this process and
    ///        returns at once.
    explicit operator_api_service(std::function<void()> begin_drain);

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;

private:
    [[nodiscard]] auto facts() const -> node_facts;
    [[nodiscard]] auto parts() const -> std::vector<std::string>;

    std::function<void()> begin_drain;
    kernel::service_kernel* kernel = nullptr;
    fleet::config_source* config = nullptr;
    node_service* node = nullptr;
};

} // namespace almondtiller::services
