#include "services/leave/leave_service.h"

#include "fleet/config_source.h"
#include "fleet/leave_schedule.h"
#include "fleet/peer_bus.h"
#include "kernel/kernel.h"
#include "services/node/node_service.h"

#include <condition_variable>
#include <mutex>

namespace almondtiller::services {

namespace {

/// The name of the service whose requests are finished last.
constexpr auto entry_name = "entry";

auto wait_until(const core::runtime_clock& clock, core::time_point deadline)
    -> void
{
    auto mutex = std::mutex();
    auto condition = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    clock.wait_until(lock, condition, deadline, [] { return false; });
}

} // namespace

auto leave_service::name() const -> std::string_view
{
    return leave_service_name;
}

auto leave_service::dependencies() const -> std::vector<std::string>
{
    return {node_service_name, fleet::peers_service_name,
            fleet::config_service_name, entry_name};
}

auto leave_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->clock = &kernel.clock();
    return {};
}

auto leave_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->peers = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    this->config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    this->node = kernel.find<node_service>(node_service_name);
    return {};
}

auto leave_service::about_to_shutdown() -> void
{
    const auto settings = this->config->current()->fleet;
    const auto schedule = fleet::plan_leaving(settings, this->clock->now());
    this->node->set_leaving();
    this->peers->announce_leaving();
    wait_until(*this->clock, schedule.reject_from);
    this->node->set_refusing();
    wait_until(*this->clock, schedule.stop_listening_from);
}

} // namespace almondtiller::services
