#include "compose.h"

#include "platform/platform_service.h"
#include "services/http/http_service.h"
#include "services/node/node_service.h"

#include <memory>
#include <vector>

namespace almondtiller {

namespace {

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
    static_cast<void>(kernel);
    return options.peer_port;
}

} // namespace almondtiller
