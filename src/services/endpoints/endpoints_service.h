#pragma once

#include "core/random.h"
#include "fleet/config_source.h"
#include "fleet/peer_bus.h"
#include "kernel/service.h"

#include <mutex>
#include <optional>
#include <string>

namespace almondtiller::services {

class node_service;

/// The name of the endpoints service.
constexpr auto endpoints_service_name = "endpoints";

/// Answers GET /v1/endpoints: which nodes a caller should use.
class endpoints_service : public kernel::service
{
public:
    endpoints_service();

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;

    /// \param zone The caller's availability zone; empty when not known.
    /// \return The answer's JSON.
    auto answer(const core::zone_name& zone) -> std::string;

    /// \return The addresses of an answer, for refusals by a leaving node.
    auto addresses(const core::zone_name& zone) -> std::vector<std::string>;

private:
    auto choose(const core::zone_name& zone) -> std::vector<fleet::member>;

    fleet::peer_bus* peers = nullptr;
    fleet::config_source* config = nullptr;
    node_service* node = nullptr;
    std::mutex mutex;
    core::random_source random;
};

} // namespace almondtiller::services
