#include "local_peers.h"

#include "fleet/fleet_errc.h"

#include <utility>

namespace almondtiller::claims_bench {

local_network::~local_network()
{
    this->tasks.wait();
}

auto local_network::join(local_peers& joined) -> void
{
    this->nodes.emplace(joined.self().id, &joined);
}

auto local_network::members() const -> std::vector<fleet::member>
{
    auto all = std::vector<fleet::member>();
    for (const auto& [id, node] : this->nodes) {
        all.push_back(node->self());
    }
    return all;
}

auto local_network::call(const core::node_id& sender,
                         const core::node_id& target, const std::string& topic,
                         const std::string& body,
                         fleet::peer_bus::reply_handler reply) -> void
{
    auto* node = this->nodes.at(target);
    this->tasks.run([=, reply = std::move(reply)] {
        reply(node->dispatch(sender, topic, body));
    });
}

local_peers::local_peers(local_network& network, fleet::member self)
    : network(network), identity(std::move(self))
{
    network.join(*this);
}

auto local_peers::name() const -> std::string_view
{
    return fleet::peers_service_name;
}

auto local_peers::initialize(kernel::service_kernel& /*kernel*/)
    -> std::error_code
{
    return {};
}

auto local_peers::self() const -> fleet::member
{
    return this->identity;
}

auto local_peers::members() const -> std::vector<fleet::member>
{
    return this->network.members();
}

auto local_peers::on_members_changed(members_handler /*handler*/) -> void
{}

auto local_peers::call(const core::node_id& target, const std::string& topic,
                       const std::string& body, core::milliseconds /*timeout*/,
                       reply_handler reply) -> void
{
    this->network.call(this->identity.id, target, topic, body,
                       std::move(reply));
}

auto local_peers::handle(const std::string& topic, request_handler handler)
    -> void
{
    this->handlers.insert_or_assign(topic, std::move(handler));
}

auto local_peers::announce_leaving() -> void
{}

auto local_peers::dispatch(const core::node_id& sender,
                           const std::string& topic, const std::string& body)
    -> core::result<std::string>
{
    const auto found = this->handlers.find(topic);
    if (found == this->handlers.end()) {
        return make_error_code(fleet::fleet_errc::unknown_topic);
    }
    return found->second(sender, body);
}

} // namespace almondtiller::claims_bench
