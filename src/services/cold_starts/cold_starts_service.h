#pragma once

#include "core/periodic_task.h"
#include "fleet/config_source.h"
#include "fleet/peer_bus.h"
#include "kernel/service.h"
#include "routing/cold_client.h"
#include "routing/cold_slot_coordinator.h"
#include "services/cold_starts/cold_messages.h"
#include "services/upstreams/pool_access.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::core {
class counter;
class metrics_registry;
} // namespace almondtiller::core

namespace almondtiller::services {

/// Names of the service and of its peer topics.
constexpr auto cold_starts_service_name = "cold_starts";
constexpr auto cold_slots_topic = "cold-slots";
constexpr auto cold_notifications_topic = "cold-signs";

/// Exchanges the messages of cold_slot_coordinator and cold_client with the
/// peers, and applies grants to this node's pools. Thread-safe: one mutex
/// guards both state machines, so that the number of attempts in flight in a
/// request is read after all previous grants were applied.
class cold_starts_service : public kernel::service
{
public:
    cold_starts_service() = default;
    ~cold_starts_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;
    auto about_to_shutdown() -> void override;

private:
    auto on_members(const std::vector<fleet::member>& members) -> void;
    auto on_request(const core::node_id& sender, const std::string& body)
        -> core::result<std::string>;
    auto on_reply(const routing::cold_client::request& sent,
                  const core::result<std::string>& reply) -> void;
    auto on_notification(const std::string& body) -> core::result<std::string>;
    auto broadcast(const cold_notification_message& message) -> void;
    auto apply(const routing::cold_client::outcome& outcome) -> void;
    auto decide(const core::node_id& holder,
                const routing::cold_slot_request& slot_request)
        -> routing::cold_slot_response;
    auto run_once() -> core::duration;
    auto poll() -> routing::cold_client::plan;
    auto send(const routing::cold_client::request& request) -> void;
    [[nodiscard]] auto capacity_of(const core::pool_name& pool) const
        -> std::uint32_t;
    [[nodiscard]] auto timing() const -> routing::cold_timing;
    auto count(routing::cold_verdict verdict, std::uint32_t slots) -> void;

    const core::runtime_clock* clock = nullptr;
    core::metrics_registry* metrics = nullptr;
    fleet::peer_bus* bus = nullptr;
    fleet::config_source* config = nullptr;
    pool_access* pools = nullptr;
    core::node_id self;

    std::mutex mutex;
    std::optional<routing::cold_slot_coordinator> coordinator;
    std::optional<routing::cold_client> client;
    std::unique_ptr<core::periodic_task> task;
};

} // namespace almondtiller::services
