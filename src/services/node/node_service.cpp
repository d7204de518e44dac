#include "services/node/node_service.h"

#include "kernel/kernel.h"
#include "services/http/http_service.h"

#include <utility>

namespace almondtiller::services {

node_service::node_service(fleet::member identity, std::string advertise)
    : self(std::move(identity)), advertise(std::move(advertise))
{}

auto node_service::name() const -> std::string_view
{
    return node_service_name;
}

auto node_service::dependencies() const -> std::vector<std::string>
{
    return {http_service_name};
}

auto node_service::initialize(kernel::service_kernel& kernel) -> std::error_code
{
    const auto* http = kernel.find<http_service>(http_service_name);
    if (this->self.address.empty()) {
        this->self.address =
            this->advertise + ":" + std::to_string(http->port());
    }
    return {};
}

auto node_service::identity() const -> const fleet::member&
{
    return this->self;
}

auto node_service::is_leaving() const -> bool
{
    return this->leaving;
}

auto node_service::set_leaving() -> void
{
    this->leaving = true;
}

} // namespace almondtiller::services
