#include "services/config/config_service.h"

#include "core/periodic_task.h"
#include "fleet/config_assembler.h"
#include "fleet/peer_bus.h"
#include "kernel/kernel.h"
#include "platform/platform_service.h"
#include "services/node/node_service.h"

#include <mutex>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto poll_interval = core::milliseconds(500);
constexpr auto call_timeout = core::milliseconds(1000);

} // namespace

struct config_service::state
{
    platform::object_store* store = nullptr;
    node_service* node = nullptr;
    core::runtime_clock* clock = nullptr;
    mutable std::mutex mutex;
    fleet::config_assembler assembler;
    std::vector<change_handler> handlers;
    std::uint64_t version = 0;
    core::time_point confirmed;
    std::unique_ptr<core::periodic_task> task;

    auto poll() -> void;
    auto fetch_shards() -> bool;
    auto publish() -> void;
};

auto config_service::state::poll() -> void
{
    const auto found = this->store->get(
        {fleet::config_kind, fleet::config_head_name}, call_timeout);
    if (!found) {
        return;
    }
    {
        const auto guard = std::lock_guard(this->mutex);
        this->confirmed = this->clock->now();
        const auto head = fleet::decode_head(found.value().value);
        if (head) {
            static_cast<void>(this->assembler.offer_head(head.value()));
        }
    }
    if (this->fetch_shards()) {
        this->publish();
    }
}

auto config_service::state::fetch_shards() -> bool
{
    auto wanted = std::vector<std::string>();
    {
        const auto guard = std::lock_guard(this->mutex);
        wanted = this->assembler.missing();
    }
    for (const auto& digest : wanted) {
        const auto found =
            this->store->get({fleet::config_shard_kind, digest}, call_timeout);
        if (!found) {
            return false;
        }
        const auto guard = std::lock_guard(this->mutex);
        static_cast<void>(
            this->assembler.offer_shard(digest, found.value().value));
    }
    return true;
}

auto config_service::state::publish() -> void
{
    auto snapshot = settings::snapshot_ptr();
    auto listeners = std::vector<change_handler>();
    {
        const auto guard = std::lock_guard(this->mutex);
        snapshot = this->assembler.advance();
        listeners = this->handlers;
    }
    if (snapshot) {
        this->node->set_has_configuration();
        for (const auto& listener : listeners) {
            listener(snapshot);
        }
    }
}

config_service::config_service() : data(std::make_unique<state>())
{}

config_service::~config_service() = default;

auto config_service::name() const -> std::string_view
{
    return fleet::config_service_name;
}

auto config_service::dependencies() const -> std::vector<std::string>
{
    return {platform::platform_service_name, fleet::peers_service_name,
            node_service_name};
}

auto config_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->data->clock = &kernel.clock();
    return {};
}

auto config_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    this->data->store =
        kernel.find<platform::object_store>(platform::platform_service_name);
    this->data->node = kernel.find<node_service>(node_service_name);
    this->data->task = std::make_unique<core::periodic_task>(
        kernel.clock(), [this]() -> core::duration {
            this->data->poll();
            return poll_interval;
        });
    return {};
}

auto config_service::about_to_shutdown() -> void
{
    this->data->task->stop();
}

auto config_service::current() const -> settings::snapshot_ptr
{
    const auto guard = std::lock_guard(this->data->mutex);
    return this->data->assembler.in_force();
}

auto config_service::on_change(change_handler handler) -> void
{
    const auto guard = std::lock_guard(this->data->mutex);
    this->data->handlers.push_back(std::move(handler));
}

auto config_service::status() const -> std::string
{
    const auto revision = this->current()->revision;
    return "{\"revision\":" + std::to_string(revision) + "}";
}

} // namespace almondtiller::services
