#include "services/peers/peers_service.h"

#include "fleet/fleet_errc.h"
#include "kernel/kernel.h"
#include "services/node/node_service.h"

#include <map>
#include <mutex>
#include <utility>

namespace almondtiller::services {

struct peers_service::state
{
    peers_options options;
    mutable std::mutex mutex;
    fleet::member self;
    std::map<std::string, request_handler> handlers;
    std::vector<members_handler> listeners;
};

peers_service::peers_service(peers_options options)
    : data(std::make_unique<state>())
{
    this->data->options = std::move(options);
}

peers_service::~peers_service() = default;

auto peers_service::name() const -> std::string_view
{
    return fleet::peers_service_name;
}

auto peers_service::dependencies() const -> std::vector<std::string>
{
    return {node_service_name, "platform"};
}

auto peers_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    static_cast<void>(kernel);
    return {};
}

auto peers_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    const auto* node = kernel.find<node_service>(node_service_name);
    const auto guard = std::lock_guard(this->data->mutex);
    this->data->self = node->identity();
    return {};
}

auto peers_service::about_to_shutdown() -> void
{}

auto peers_service::peer_port() const -> int
{
    return this->data->options.port;
}

auto peers_service::self() const -> fleet::member
{
    const auto guard = std::lock_guard(this->data->mutex);
    return this->data->self;
}

auto peers_service::members() const -> std::vector<fleet::member>
{
    return {this->self()};
}

auto peers_service::on_members_changed(members_handler handler) -> void
{
    const auto guard = std::lock_guard(this->data->mutex);
    this->data->listeners.push_back(std::move(handler));
}

auto peers_service::call(const core::node_id& target, const std::string& topic,
                         const std::string& body, core::milliseconds timeout,
                         reply_handler reply) -> void
{
    static_cast<void>(timeout);
    auto handler = request_handler();
    {
        const auto guard = std::lock_guard(this->data->mutex);
        if (target == this->data->self.id) {
            handler = this->data->handlers[topic];
        }
    }
    if (!handler) {
        reply(make_error_code(fleet::fleet_errc::peer_unreachable));
        return;
    }
    reply(handler(target, body));
}

auto peers_service::handle(const std::string& topic, request_handler handler)
    -> void
{
    const auto guard = std::lock_guard(this->data->mutex);
    this->data->handlers[topic] = std::move(handler);
}

auto peers_service::announce_leaving() -> void
{
    const auto guard = std::lock_guard(this->data->mutex);
    this->data->self.state = fleet::member_state::leaving;
}

} // namespace almondtiller::services
