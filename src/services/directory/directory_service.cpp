#include "services/directory/directory_service.h"

#include "core/metrics.h"
#include "core/periodic_task.h"
#include "core/random.h"
#include "fleet/gossip_channel.h"
#include "fleet/instance_feed.h"
#include "fleet/peer_bus.h"
#include "fleet/peer_call.h"
#include "fleet/poll_schedule.h"
#include "fleet/watcher_choice.h"
#include "kernel/kernel.h"
#include "platform/platform_service.h"
#include "services/node/node_service.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace almondtiller::services {

namespace {

using fleet::poll_role;

constexpr auto watcher_pause = core::milliseconds(500);
constexpr auto sync_pause = core::milliseconds(700);
constexpr auto call_timeout = core::milliseconds(1000);
constexpr auto peer_timeout = core::milliseconds(400);
constexpr auto run_pause = core::milliseconds(100);

constexpr auto store_calls_info = core::metric_info{
    "almondtiller_directory_store_calls_total", core::metric_kind::counter,
    "Calls to the platform for the instance list, by result."};

auto options_of_schedule() -> fleet::poll_options
{
    auto options = fleet::poll_options();
    options.watcher_interval = watcher_pause;
    return options;
}

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

auto only_upstreams(std::vector<platform::instance> listed)
    -> std::vector<platform::instance>
{
    std::erase_if(listed, [](const auto& instance) {
        return instance.role != platform::instance_role::upstream;
    });
    return listed;
}

} // namespace

struct directory_service::state
{
    const core::runtime_clock* clock = nullptr;
    core::metrics_registry* metrics = nullptr;
    platform::object_store* store = nullptr;
    fleet::peer_bus* peers = nullptr;
    fleet::gossip_channel* gossip = nullptr;
    mutable std::mutex mutex;
    fleet::instance_feed feed;
    std::vector<change_handler> handlers;
    std::vector<platform::instance> told;
    std::unique_ptr<core::periodic_task> task;

    /// Used by the task's thread only.
    fleet::poll_schedule schedule{options_of_schedule(), core::system_seed()};
    core::random_source random{core::system_seed()};
    core::time_point next_sync;

    auto run() -> core::duration;
    auto ask_store(poll_role role) -> void;
    auto ask_watchers(const std::vector<fleet::member>& watchers) -> void;
    auto ask_peer(const core::node_id& peer, std::uint64_t known) -> bool;
    auto answer(const std::string& body) -> core::result<std::string>;
    auto tell() -> void;
};

auto directory_service::state::run() -> core::duration
{
    const auto self = this->peers->self();
    const auto watchers =
        fleet::choose_watchers(this->peers->members(), self.zone);
    const auto is_watcher = std::any_of(
        watchers.begin(), watchers.end(),
        [&self](const auto& chosen) { return chosen.id == self.id; });
    const auto role = is_watcher ? poll_role::watcher : poll_role::follower;
    const auto now = this->clock->now();
    auto observed = std::optional<core::time_point>();
    {
        const auto guard = std::lock_guard(this->mutex);
        observed = this->feed.observed();
    }
    if (this->schedule.is_due(role, observed, now)) {
        this->ask_store(role);
    } else if (!is_watcher && now >= this->next_sync) {
        this->ask_watchers(watchers);
    }
    this->tell();
    return run_pause;
}

auto directory_service::state::ask_store(poll_role role) -> void
{
    const auto listed = this->store->instances(call_timeout);
    const auto now = this->clock->now();
    const auto result =
        listed ? std::string("ok") : core::error_name(listed.error());
    this->metrics->counter_for(store_calls_info, {{"result", result}}).add();
    if (!listed) {
        this->schedule.failed(role, now);
        return;
    }
    this->schedule.succeeded(role, now);
    const auto guard = std::lock_guard(this->mutex);
    this->feed.observe(listed.value(), now);
}

auto directory_service::state::ask_watchers(
    const std::vector<fleet::member>& watchers) -> void
{
    const auto half = std::uint64_t(sync_pause.count()) / 2;
    this->next_sync = this->clock->now() + sync_pause * 3 / 4 +
                      core::milliseconds(this->random.below(half));
    auto known = std::uint64_t(0);
    {
        const auto guard = std::lock_guard(this->mutex);
        known = this->feed.digest();
    }
    for (const auto& watcher : watchers) {
        if (this->ask_peer(watcher.id, known)) {
            return;
        }
    }
}

auto directory_service::state::ask_peer(const core::node_id& peer,
                                        std::uint64_t known) -> bool
{
    const auto bytes =
        fleet::call_and_wait(*this->peers, peer, fleet::instances_topic,
                             std::to_string(known), peer_timeout);
    if (!bytes) {
        return false;
    }
    const auto update = fleet::decode_instances(bytes.value());
    if (!update) {
        return false;
    }
    const auto guard = std::lock_guard(this->mutex);
    return this->feed.apply(update.value(), this->clock->now()).has_value();
}

auto directory_service::state::answer(const std::string& body)
    -> core::result<std::string>
{
    const auto known = std::strtoull(body.c_str(), nullptr, 10);
    const auto guard = std::lock_guard(this->mutex);
    BOOST_OUTCOME_TRY(update, this->feed.update_for(known, this->clock->now()));
    return fleet::encode_instances(update);
}

auto directory_service::state::tell() -> void
{
    auto listeners = std::vector<change_handler>();
    auto listed = std::vector<platform::instance>();
    {
        const auto guard = std::lock_guard(this->mutex);
        if (this->feed.instances() == this->told) {
            return;
        }
        this->told = this->feed.instances();
        listed = this->told;
        listeners = this->handlers;
    }
    this->gossip->set_contacts(to_contacts(listed));
    const auto upstreams = only_upstreams(std::move(listed));
    for (const auto& listener : listeners) {
        listener(upstreams);
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
    auto& data = *this->data;
    data.clock = &kernel.clock();
    data.metrics = &kernel.metrics();
    data.store =
        kernel.find<platform::object_store>(platform::platform_service_name);
    data.peers = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    data.gossip = kernel.find<fleet::gossip_channel>(fleet::peers_service_name);
    return {};
}

auto directory_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    auto& data = *this->data;
    data.peers->handle(
        fleet::instances_topic,
        [&data](const auto&, const auto& body) { return data.answer(body); });
    data.task = std::make_unique<core::periodic_task>(
        kernel.clock(), [&data] { return data.run(); });
    return {};
}

auto directory_service::about_to_shutdown() -> void
{
    if (this->data->task) {
        this->data->task->stop();
    }
}

auto directory_service::upstreams() const -> std::vector<platform::instance>
{
    const auto guard = std::lock_guard(this->data->mutex);
    return only_upstreams(this->data->feed.instances());
}

auto directory_service::on_change(change_handler handler) -> void
{
    auto listed = std::vector<platform::instance>();
    {
        const auto guard = std::lock_guard(this->data->mutex);
        this->data->handlers.push_back(handler);
        listed = only_upstreams(this->data->told);
    }
    if (!listed.empty()) {
        handler(listed);
    }
}

} // namespace almondtiller::services
