#include "services/peers/peers_service.h"

#include "fleet/fleet_errc.h"
#include "kernel/kernel.h"
#include "services/node/node_service.h"
#include "services/peers/gossip_driver.h"

#include <nlohmann/json.hpp>
#include <tbb/task_arena.h>

#include <map>
#include <mutex>
#include <utility>

namespace almondtiller::services {

namespace {

/// Number of threads for handlers, which may block.
constexpr auto handler_threads = 4;

constexpr auto failed_calls_info = core::metric_info{
    "almondtiller_peer_call_failures_total", core::metric_kind::counter,
    "Calls to peers that failed, by reason."};

auto state_text(fleet::member_state state) -> std::string
{
    switch (state) {
    case fleet::member_state::alive:
        return "alive";
    case fleet::member_state::suspect:
        return "suspect";
    case fleet::member_state::leaving:
        return "leaving";
    case fleet::member_state::dead:
        return "dead";
    }
    return "dead";
}

/// \return \a address with its port replaced by \a port.
auto with_port(const std::string& address, int port) -> std::string
{
    return address.substr(0, address.rfind(':')) + ":" + std::to_string(port);
}

} // namespace

struct peers_service::state
{
    peers_options options;
    core::metrics_registry* metrics = nullptr;
    mutable std::mutex mutex;
    std::condition_variable handlers_ended;
    std::size_t running_handlers = 0;
    std::map<std::string, request_handler> handlers;
    std::unique_ptr<peer_transport> transport;
    std::unique_ptr<gossip_driver> gossip;
    tbb::task_arena arena{handler_threads, 0, tbb::task_arena::priority::high};

    auto serve(h2_request request, reply_handler reply) -> void;
    auto run_handler(const request_handler& handler, const h2_request& request,
                     const reply_handler& reply) -> void;
};

auto peers_service::state::serve(h2_request request, reply_handler reply)
    -> void
{
    if (request.topic == gossip_topic || request.topic == relay_topic) {
        this->gossip->serve(request, std::move(reply));
        return;
    }
    auto handler = request_handler();
    {
        const auto guard = std::lock_guard(this->mutex);
        const auto found = this->handlers.find(request.topic);
        if (found != this->handlers.end()) {
            handler = found->second;
            ++this->running_handlers;
        }
    }
    if (!handler) {
        reply(make_error_code(fleet::fleet_errc::unknown_topic));
        return;
    }
    this->arena.enqueue([this, handler = std::move(handler),
                         request = std::move(request),
                         reply = std::move(reply)] {
        this->run_handler(handler, request, reply);
    });
}

auto peers_service::state::run_handler(const request_handler& handler,
                                       const h2_request& request,
                                       const reply_handler& reply) -> void
{
    try {
        reply(handler(core::node_id(request.sender), request.body));
    } catch (const std::exception&) {
        reply(make_error_code(fleet::fleet_errc::peer_failed));
    }
    const auto guard = std::lock_guard(this->mutex);
    --this->running_handlers;
    this->handlers_ended.notify_all();
}

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
    return {node_service_name};
}

auto peers_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    auto& data = *this->data;
    data.metrics = &kernel.metrics();
    auto self = kernel.find<node_service>(node_service_name)->identity();
    data.transport = std::make_unique<peer_transport>(
        kernel.clock(), self.id.str(), [&data](auto request, auto reply) {
            data.serve(std::move(request), std::move(reply));
        });
    const auto port =
        data.transport->bind(data.options.address, data.options.port);
    if (!port) {
        return port.error();
    }
    data.options.port = port.value();
    self.peer_address = with_port(self.address, port.value());
    data.gossip = std::make_unique<gossip_driver>(
        kernel.clock(), *data.transport, kernel.metrics(), self,
        core::system_seed());
    return {};
}

auto peers_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    static_cast<void>(kernel);
    this->data->transport->accept();
    this->data->gossip->start();
    return {};
}

auto peers_service::about_to_shutdown() -> void
{
    auto& data = *this->data;
    if (!data.gossip) {
        return;
    }
    data.gossip->stop();
    {
        auto lock = std::unique_lock(data.mutex);
        data.handlers_ended.wait(
            lock, [&data] { return data.running_handlers == 0; });
    }
    data.transport->stop();
}

auto peers_service::self() const -> fleet::member
{
    return this->data->gossip->self();
}

auto peers_service::members() const -> std::vector<fleet::member>
{
    return this->data->gossip->members();
}

auto peers_service::on_members_changed(members_handler handler) -> void
{
    this->data->gossip->on_members_changed(std::move(handler));
}

auto peers_service::call(const core::node_id& target, const std::string& topic,
                         const std::string& body, core::milliseconds timeout,
                         reply_handler reply) -> void
{
    const auto address = this->data->gossip->peer_address(target);
    if (address.empty()) {
        reply(make_error_code(fleet::fleet_errc::peer_unreachable));
        return;
    }
    this->data->transport->call(
        address, topic, body, timeout,
        [this, reply = std::move(reply)](core::result<std::string> answer) {
            if (!answer) {
                this->data->metrics
                    ->counter_for(
                        failed_calls_info,
                        {{"reason", core::error_name(answer.error())}})
                    .add();
            }
            reply(std::move(answer));
        });
}

auto peers_service::handle(const std::string& topic, request_handler handler)
    -> void
{
    const auto guard = std::lock_guard(this->data->mutex);
    this->data->handlers[topic] = std::move(handler);
}

auto peers_service::announce_leaving() -> void
{
    this->data->gossip->announce_leaving();
}

auto peers_service::set_contacts(const std::vector<fleet::member>& contacts)
    -> void
{
    this->data->gossip->set_contacts(contacts);
}

auto peers_service::set_config_status_source(config_status_source source)
    -> void
{
    this->data->gossip->set_config_status_source(std::move(source));
}

auto peers_service::on_config_status(config_status_handler handler) -> void
{
    this->data->gossip->on_config_status(std::move(handler));
}

auto peers_service::status() const -> std::string
{
    const auto traffic = this->data->transport->traffic();
    auto members = nlohmann::json::array();
    for (const auto& member : this->members()) {
        members.push_back({{"node", member.id.str()},
                           {"zone", member.zone.str()},
                           {"region", member.region.str()},
                           {"address", member.address},
                           {"incarnation", member.incarnation},
                           {"state", state_text(member.state)}});
    }
    return nlohmann::json{{"members", members},
                          {"peer_sent_bytes", traffic.sent_bytes},
                          {"peer_received_bytes", traffic.received_bytes}}
        .dump();
}

auto peers_service::peer_port() const -> int
{
    return this->data->options.port;
}

} // namespace almondtiller::services
