#include "services/config/config_service.h"

#include "core/periodic_task.h"
#include "core/random.h"
#include "fleet/gossip_channel.h"
#include "fleet/peer_bus.h"
#include "kernel/kernel.h"
#include "platform/platform_service.h"
#include "services/config/config_follower.h"
#include "services/node/node_service.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <utility>

namespace almondtiller::services {

struct config_service::state
{
    std::unique_ptr<config_follower> follower;
    std::mutex task_mutex;
    std::unique_ptr<core::periodic_task> task;

    auto start_task(const core::runtime_clock& clock) -> void;
    auto wake_task() -> void;
    auto connect(fleet::peer_bus& peers, fleet::gossip_channel& gossip,
                 node_service& node) -> void;
};

auto config_service::state::start_task(const core::runtime_clock& clock) -> void
{
    const auto guard = std::lock_guard(this->task_mutex);
    this->task = std::make_unique<core::periodic_task>(
        clock, [this] { return this->follower->run(); });
}

auto config_service::state::wake_task() -> void
{
    const auto guard = std::lock_guard(this->task_mutex);
    if (this->task) {
        this->task->wake();
    }
}

auto config_service::state::connect(fleet::peer_bus& peers,
                                    fleet::gossip_channel& gossip,
                                    node_service& node) -> void
{
    auto* worker = this->follower.get();
    worker->wake = [this] {
        this->wake_task();
    };
    worker->on_ready = [&node] {
        node.set_has_configuration();
    };
    peers.handle(fleet::config_head_topic,
                 [worker](const auto&, const auto& body) {
                     return worker->answer_head(body);
                 });
    peers.handle(fleet::config_shard_topic,
                 [worker](const auto&, const auto& body) {
                     return worker->answer_shard(body);
                 });
    peers.handle(fleet::config_push_topic,
                 [worker](const auto& sender, const auto& body) {
                     return worker->take_push(sender, body);
                 });
    gossip.set_config_status_source([worker] { return worker->facts(); });
    gossip.on_config_status([worker](const auto& sender, const auto& told) {
        worker->hear_facts(sender, told);
    });
    node.set_isolation_check([worker] { return worker->is_isolated(); });
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
    auto* store =
        kernel.find<platform::object_store>(platform::platform_service_name);
    auto* peers = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    this->data->follower = std::make_unique<config_follower>(
        kernel.clock(), kernel.metrics(), *store, *peers, core::system_seed());
    return {};
}

auto config_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    auto& data = *this->data;
    data.connect(*kernel.find<fleet::peer_bus>(fleet::peers_service_name),
                 *kernel.find<fleet::gossip_channel>(fleet::peers_service_name),
                 *kernel.find<node_service>(node_service_name));
    data.start_task(kernel.clock());
    return {};
}

auto config_service::about_to_shutdown() -> void
{
    if (this->data->task) {
        this->data->task->stop();
    }
}

auto config_service::current() const -> settings::snapshot_ptr
{
    return this->data->follower->current();
}

auto config_service::on_change(change_handler handler) -> void
{
    this->data->follower->on_change(handler);
}

auto config_service::status() const -> std::string
{
    const auto snapshot = this->current();
    auto zones = nlohmann::json::array();
    for (const auto& [name, zone] : snapshot->zones) {
        zones.push_back({{"zone", name.str()},
                         {"region", zone.region.str()},
                         {"state", settings::to_string(zone.state)}});
    }
    return nlohmann::json{
        {"revision", snapshot->revision},
        {"config_age_ms", this->data->follower->age_ms()},
        {"config_watcher", this->data->follower->is_watcher()},
        {"isolated", this->data->follower->is_isolated()},
        {"zones", zones}}
        .dump();
}

} // namespace almondtiller::services
