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

/// Runs the failure detector: passes it the time and the messages of peers, and
/// sends the pings that it requests. Thread-safe.
class gossip_driver
{
public:
    gossip_driver(const core::runtime_clock& clock, peer_transport& transport,
                  core::metrics_registry& metrics, const fleet::member& self,
                  std::uint64_t seed);

    auto start() -> void;
    auto stop() -> void;

    /// Answers a request of a peer, whose topic is gossip_topic or relay_topic.
    auto serve(const h2_request& request, peer_transport::reply_handler reply)
        -> void;

    /// Marks this node as leaving and notifies all other members immediately.
    auto announce_leaving() -> void;

    auto set_contacts(const std::vector<fleet::member>& contacts) -> void;
    auto
    set_config_status_source(fleet::gossip_channel::config_status_source source)
        -> void;
    auto on_config_status(fleet::gossip_channel::config_status_handler handler)
        -> void;
    auto on_members_changed(fleet::peer_bus::members_handler handler) -> void;

    [[nodiscard]] auto self() const -> fleet::member;
    [[nodiscard]] auto members() const -> std::vector<fleet::member>;
    [[nodiscard]] auto peer_address(const core::node_id& id) const
        -> std::string;

private:
    auto tick() -> void;
    auto send(const fleet::probe_request& request) -> void;
    auto send_ping(const fleet::probe_request& request) -> void;
    auto send_relayed(const fleet::probe_request& request) -> void;
    auto on_probe_ended(const fleet::probe_request& request,
                        const core::result<std::string>& answer) -> void;
    auto serve_ping(const h2_request& request) -> core::result<std::string>;
    auto serve_relay(const h2_request& request,
                     peer_transport::reply_handler reply) -> void;
    auto current_config_status() const -> fleet::config_status;
    auto report_config_status(const core::node_id& sender,
                              const fleet::config_status& status) -> void;
    auto report_changes() -> void;

    const core::runtime_clock& clock;
    peer_transport& transport;
    core::counter& probe_failures;
    core::gauge& live_members;
    core::gauge& sent_bytes;
    core::gauge& received_bytes;
    fleet::membership_options options;
    mutable std::mutex mutex;
    fleet::membership detector;
    std::mutex report_mutex;
    std::vector<fleet::member> reported_members;
    fleet::gossip_channel::config_status_source config_status_source;
    std::vector<fleet::gossip_channel::config_status_handler>
        config_status_handlers;
    std::vector<fleet::peer_bus::members_handler> member_handlers;
    std::unique_ptr<core::periodic_task> task;
};

constexpr auto gossip_topic = "gossip";
constexpr auto relay_topic = "gossip-relay";

} // namespace almondtiller::services
