#include "services/operator_api/operator_api_service.h"

#include "fleet/config_source.h"
#include "kernel/kernel.h"
#include "kernel/status_provider.h"
#include "services/http/http_service.h"
#include "services/node/node_service.h"

#include <httplib.h>

#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto json_type = "application/json";
constexpr auto http_accepted = 202;

auto state_text(const node_service& node) -> std::string
{
    if (node.is_leaving()) {
        return "leaving";
    }
    switch (node.admission_state()) {
    case admission::open:
        return "serving";
    case admission::starting:
        return "starting";
    case admission::isolated:
        return "isolated";
    case admission::leaving:
        break;
    }
    return "leaving";
}

} // namespace

operator_api_service::operator_api_service(std::function<void()> begin_drain)
    : begin_drain(std::move(begin_drain))
{}

auto operator_api_service::name() const -> std::string_view
{
    return operator_api_service_name;
}

auto operator_api_service::dependencies() const -> std::vector<std::string>
{
    return {http_service_name, node_service_name, fleet::config_service_name};
}

auto operator_api_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->kernel = &kernel;
    return {};
}

auto operator_api_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    this->node = kernel.find<node_service>(node_service_name);
    auto* http = kernel.find<http_service>(http_service_name);
    http->add_route(
        http_method::get, "/v1/status", [this](const auto&, auto& response) {
            response.set_content(status_document(this->facts(), this->parts()),
                                 json_type);
        });
    http->add_route(
        http_method::get, "/v1/top", [this](const auto&, auto& response) {
            response.set_content(top_document(this->facts(), this->parts()),
                                 json_type);
        });
    http->add_route(http_method::post, "/v1/drain",
                    [this](const auto&, auto& response) {
                        response.status = http_accepted;
                        response.set_content("{}", json_type);
                        this->begin_drain();
                    });
    return {};
}

auto operator_api_service::facts() const -> node_facts
{
    return {this->node->identity(), state_text(*this->node),
            this->config->current()};
}

auto operator_api_service::parts() const -> std::vector<std::string>
{
    auto texts = std::vector<std::string>();
    for (const auto* provider :
         this->kernel->find_all<kernel::status_provider>()) {
        texts.push_back(provider->status());
    }
    return texts;
}

} // namespace almondtiller::services
