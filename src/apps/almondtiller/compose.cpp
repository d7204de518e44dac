#include "compose.h"

#include "platform/platform_service.h"
#include "services/claims/claims_service.h"
#include "services/cold_starts/cold_starts_service.h"
#include "services/config/config_service.h"
#include "services/directory/directory_service.h"
#include "services/endpoints/endpoints_service.h"
#include "services/entry/entry_service.h"
#include "services/execution/execution_service.h"
#include "services/http/http_service.h"
#include "services/leave/leave_service.h"
#include "services/node/node_service.h"
#include "services/operator_api/operator_api_service.h"
#include "services/orders/orders_service.h"
#include "services/peers/peers_service.h"
#include "services/state_log/state_log_service.h"
#include "services/upstreams/upstreams_service.h"

#include <unistd.h>

#include <csignal>
#include <memory>
#include <vector>

namespace almondtiller {

namespace {

/// A drain by request is the same as SIGTERM, which main waits for.
auto begin_drain() -> void
{
    kill(getpid(), SIGTERM);
}

auto make_services(const node_options& options)
    -> std::vector<std::unique_ptr<kernel::service>>
{
    auto made = std::vector<std::unique_ptr<kernel::service>>();
    auto http = services::http_options();
    http.address = options.listen_address;
    http.port = options.listen_port;
    http.max_connections = options.max_connections;
    made.push_back(std::make_unique<services::http_service>(http));
    made.push_back(std::make_unique<services::node_service>(options.identity,
                                                            options.advertise));
    made.push_back(
        std::make_unique<platform::platform_service>(options.platform));
    auto peers = services::peers_options();
    peers.address = options.peer_address;
    peers.port = options.peer_port;
    made.push_back(std::make_unique<services::peers_service>(peers));
    made.push_back(std::make_unique<services::config_service>());
    made.push_back(std::make_unique<services::directory_service>());
    made.push_back(std::make_unique<services::claims_service>());
    made.push_back(
        std::make_unique<services::upstreams_service>(options.identity.zone));
    made.push_back(std::make_unique<services::cold_starts_service>());
    made.push_back(std::make_unique<services::execution_service>());
    made.push_back(std::make_unique<services::entry_service>());
    made.push_back(std::make_unique<services::endpoints_service>());
    made.push_back(std::make_unique<services::leave_service>());
    made.push_back(std::make_unique<services::orders_service>());
    made.push_back(
        std::make_unique<services::operator_api_service>(begin_drain));
    made.push_back(std::make_unique<services::state_log_service>());
    return made;
}

} // namespace

auto compose(kernel::service_kernel& kernel, const node_options& options)
    -> std::error_code
{
    for (auto& made : make_services(options)) {
        if (const auto error = kernel.add(std::move(made))) {
            return error;
        }
    }
    return {};
}

auto peer_port(const kernel::service_kernel& kernel,
               const node_options& options) -> int
{
    static_cast<void>(options);
    const auto* peers =
        kernel.find<services::peers_service>(fleet::peers_service_name);
    return peers->peer_port();
}

} // namespace almondtiller
