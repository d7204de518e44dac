#include "services/directory/directory_service.h"

#include "core/periodic_task.h"
#include "fleet/gossip_channel.h"
#include "fleet/peer_bus.h"
#include "kernel/kernel.h"
#include "platform/platform_service.h"
#include "services/node/node_service.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto poll_interval = core::milliseconds(500);
constexpr auto call_timeout = core::milliseconds(1000);

/// \return The nodes among the listed instances.
auto to_contacts(const std::vector<platform::instance>& listed)
    -> std::vector<fleet::member>
{
    auto contacts = std::vector<fleet::member>();
    for (const auto& instance : listed) {
        if (instance.role != platform::instance_role::node ||
            instance.state != platform::instance_state::live) {
            continue;
        }
        auto contact = fleet::member();
        contact.id = core::node_id(instance.id);
        contact.zone = instance.zone;
        contact.region = instance.region;
        contact.address = instance.address;
        contact.peer_address = instance.peer_address;
        contacts.push_back(contact);
    }
    return contacts;
}

} // namespace

struct directory_service::state
{
    platform::object_store* store = nullptr;
    fleet::gossip_channel* gossip = nullptr;
    mutable std::mutex mutex;
    std::vector<platform::instance> upstreams;
    std::vector<change_handler> handlers;
    std::unique_ptr<core::periodic_task> task;

    auto poll() -> void;
    auto apply(const std::vector<platform::instance>& listed) -> void;
};

auto directory_service::state::poll() -> void
{
    auto listed = this->store->instances(call_timeout);
    if (!listed) {
        return;
    }
    this->gossip->set_contacts(to_contacts(listed.value()));
    std::erase_if(listed.value(), [](const auto& instance) {
        return instance.role != platform::instance_role::upstream;
    });
    std::sort(listed.value().begin(), listed.value().end());
    this->apply(listed.value());
}

auto directory_service::state::apply(
    const std::vector<platform::instance>& listed) -> void
{
    auto listeners = std::vector<change_handler>();
    {
        const auto guard = std::lock_guard(this->mutex);
        if (listed == this->upstreams) {
            return;
        }
        this->upstreams = listed;
        listeners = this->handlers;
    }
    for (const auto& listener : listeners) {
        listener(listed);
    }
}

directory_service::directory_service() : data(std::make_unique<state>())
{}

directory_service::~directory_service() = default;

auto directory_service::name() const -> std::string_view
{
    return fleet::directory_service_name;
}

auto directory_service::dependencies() const -> std::vector<std::string>
{
    return {platform::platform_service_name, fleet::peers_service_name,
            node_service_name};
}

auto directory_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    static_cast<void>(kernel);
    return {};
}

auto directory_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->data->store =
        kernel.find<platform::object_store>(platform::platform_service_name);
    this->data->gossip =
        kernel.find<fleet::gossip_channel>(fleet::peers_service_name);
    this->data->task = std::make_unique<core::periodic_task>(
        kernel.clock(), [this]() -> core::duration {
            this->data->poll();
            return poll_interval;
        });
    return {};
}

auto directory_service::about_to_shutdown() -> void
{
    this->data->task->stop();
}

auto directory_service::upstreams() const -> std::vector<platform::instance>
{
    const auto guard = std::lock_guard(this->data->mutex);
    return this->data->upstreams;
}

auto directory_service::on_change(change_handler handler) -> void
{
    const auto guard = std::lock_guard(this->data->mutex);
    this->data->handlers.push_back(std::move(handler));
}

} // namespace almondtiller::services
