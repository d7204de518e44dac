#include "services/node/node_service.h"

#include <utility>

namespace almondtiller::services {

node_service::node_service(fleet::member identity) : self(std::move(identity))
{}

auto node_service::name() const -> std::string_view
{
    return node_service_name;
}

auto node_service::initialize(kernel::service_kernel& kernel) -> std::error_code
{
    static_cast<void>(kernel);
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
