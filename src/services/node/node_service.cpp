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
    if (this->self.incarnation == 0) {
        const auto started = kernel.clock().wall_now().time_since_epoch();
        this->self.incarnation = std::uint64_t(
            std::chrono::duration_cast<core::milliseconds>(started).count());
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

auto node_service::admission_state() const -> admission
{
    if (this->refusing) {
        return admission::leaving;
    }
    if (!this->has_configuration) {
        return admission::starting;
    }
    return this->isolation_check() ? admission::isolated : admission::open;
}

auto node_service::is_ready() const -> bool
{
    return !this->leaving && this->admission_state() == admission::open;
}

auto node_service::set_has_configuration() -> void
{
    this->has_configuration = true;
}

auto node_service::set_isolation_check(std::function<bool()> check) -> void
{
    this->isolation_check = std::move(check);
}

auto node_service::set_refusing() -> void
{
    this->refusing = true;
}

} // namespace almondtiller::services
