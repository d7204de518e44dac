#pragma once

#include "core/metrics.h"
#include "core/periodic_task.h"
#include "fleet/gossip_channel.h"
#include "fleet/membership.h"
#include "fleet/peer_bus.h"
#include "services/peers/peer_transport.h"

#include <map>
#include <mutex>

namespace almondtiller::services {

/// Runs the failure detector: gives it time and messages and sends what it
/// orders. Thread-safe.
class gossip_driver
{
public:
    gossip_driver(const core::runtime_clock& clock, peer_transport& transport,
                  core::metrics_registry& metrics, const fleet::member& self,
                  std::uint64_t seed);

    auto start() -> void;
    auto stop() -> void;

    /// Answers a request of a peer; the topic is one of gossip_topic and
    /// relay_topic.
    auto serve(const h2_request& request, peer_transport::reply_handler reply)
        -> void;

    /// Marks this node as leaving and tells every member at once.
    auto announce_leaving() -> void;

    auto set_contacts(const std::vector<fleet::member>& contacts) -> void;
    auto set_facts_source(fleet::gossip_channel::facts_source source) -> void;
    auto on_facts(fleet::gossip_channel::facts_handler handler) -> void;
    auto on_members_changed(fleet::peer_bus::members_handler handler) -> void;

    [[nodiscard]] auto self() const -> fleet::member;
    [[nodiscard]] auto members() const -> std::vector<fleet::member>;
    [[nodiscard]] auto peer_address(const core::node_id& id) const
        -> std::string;

private:
    auto tick() -> void;
    auto send(const fleet::probe_order& order) -> void;
    auto send_ping(const fleet::probe_order& order) -> void;
    auto send_relayed(const fleet::probe_order& order) -> void;
    auto ended(const fleet::probe_order& order,
               const core::result<std::string>& answer) -> void;
    auto serve_ping(const h2_request& request) -> core::result<std::string>;
    auto serve_relay(const h2_request& request,
                     peer_transport::reply_handler reply) -> void;
    auto facts() const -> fleet::gossip_facts;
    auto report_facts(const core::node_id& sender,
                      const fleet::gossip_facts& told) -> void;
    auto report_changes() -> void;

    const core::runtime_clock& clock;
    peer_transport& transport;
    core::counter& probe_failures;
    core::gauge& live_members;
    core::gauge& sent_bytes;
    core::gauge& received_bytes;
    fleet::membership_options options;
    mutable std::mutex mutex;
    fleet::membership machine;
    std::mutex report_mutex;
    std::vector<fleet::member> reported;
    fleet::gossip_channel::facts_source source;
    std::vector<fleet::gossip_channel::facts_handler> fact_handlers;
    std::vector<fleet::peer_bus::members_handler> member_handlers;
    std::unique_ptr<core::periodic_task> task;
};

constexpr auto gossip_topic = "gossip";
constexpr auto relay_topic = "gossip-relay";

} // namespace almondtiller::services
