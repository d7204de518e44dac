#include "platform/platform_service.h"

namespace almondtiller::platform {

platform_service::platform_service(const std::string& address)
    : http_object_store(address)
{}

auto platform_service::name() const -> std::string_view
{
    return platform_service_name;
}

auto platform_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    static_cast<void>(kernel);
    return {};
}

auto platform_service::about_to_shutdown() -> void
{
    this->stop();
}

} // namespace almondtiller::platform
