#include "services/endpoints/endpoints_service.h"

#include "fleet/endpoint_choice.h"
#include "kernel/kernel.h"
#include "services/http/http_service.h"
#include "services/node/node_service.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondtiller::services {

endpoints_service::endpoints_service() : random(core::system_seed())
{}

auto endpoints_service::name() const -> std::string_view
{
    return endpoints_service_name;
}

auto endpoints_service::dependencies() const -> std::vector<std::string>
{
    return {http_service_name, node_service_name, fleet::peers_service_name,
            fleet::config_service_name};
}

auto endpoints_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    static_cast<void>(kernel);
    return {};
}

auto endpoints_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->peers = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    this->config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    this->node = kernel.find<node_service>(node_service_name);
    auto* http = kernel.find<http_service>(http_service_name);
    http->add_route(
        http_method::get, "/v1/endpoints",
        [this](const auto& request, auto& response) {
            const auto zone = core::zone_name(request.get_param_value("zone"));
            response.set_content(this->answer(zone), "application/json");
        });
    return {};
}

auto endpoints_service::choose(const core::zone_name& zone)
    -> std::vector<fleet::member>
{
    auto candidates = this->peers->members();
    if (!this->node->is_ready()) {
        std::erase_if(candidates, [this](const auto& member) {
            return member.id == this->node->identity().id;
        });
    }
    const auto snapshot = this->config->current();
    const auto guard = std::lock_guard(this->mutex);
    return fleet::choose_endpoints(candidates, *snapshot, zone, this->random);
}

auto endpoints_service::answer(const core::zone_name& zone) -> std::string
{
    const auto snapshot = this->config->current();
    auto endpoints = nlohmann::json::array();
    for (const auto& member : this->choose(zone)) {
        endpoints.push_back({{"address", member.address},
                             {"zone", member.zone.str()},
                             {"node", member.id.str()}});
    }
    return nlohmann::json{
        {"endpoints", endpoints},
        {"valid_ms", snapshot->fleet.endpoint_lifetime.count()},
        {"revision", snapshot->revision}}
        .dump();
}

auto endpoints_service::addresses(const core::zone_name& zone)
    -> std::vector<std::string>
{
    auto found = std::vector<std::string>();
    for (const auto& member : this->choose(zone)) {
        found.push_back(member.address);
    }
    return found;
}

} // namespace almondtiller::services
