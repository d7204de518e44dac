#pragma once

#include "core/periodic_task.h"
#include "fleet/config_source.h"
#include "fleet/upstream_directory.h"
#include "kernel/service.h"
#include "kernel/status_provider.h"
#include "services/upstreams/attempt_call.h"
#include "services/upstreams/attempt_runner.h"
#include "services/upstreams/pool_access.h"
#include "services/upstreams/pool_queue.h"
#include "services/upstreams/side_calls.h"

#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>

namespace almondtiller::core {
class metrics_registry;
class counter;
} // namespace almondtiller::core

namespace almondtiller::services {

/// Owns this node's pools: feeds their schedulers with the configuration, the
/// instance list and load reports, and makes attempts at their upstreams.
class upstreams_service : public kernel::service,
                          public pool_access,
                          public attempt_runner,
                          public kernel::status_provider
{
public:
    explicit upstreams_service(core::zone_name local_zone);
    ~upstreams_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;
    auto about_to_shutdown() -> void override;

    auto run(const attempt_order& order, const attempt_hooks& hooks)
        -> attempt_conclusion override;
    [[nodiscard]] auto estimate(const core::pool_name& pool) const
        -> pipeline::stage_estimate override;

    [[nodiscard]] auto pools() const -> std::vector<core::pool_name> override;
    [[nodiscard]] auto cold_demand(const core::pool_name& pool) const
        -> demand override;
    auto grant_cold_slots(const core::pool_name& pool,
                          const routing::cold_grant& grant) -> void override;
    [[nodiscard]] auto cold_upstreams(const core::pool_name& pool) const
        -> std::vector<routing::cold_upstream> override;
    auto deny_cold_slots(const core::pool_name& pool,
                         const core::upstream_id& id,
                         core::duration retry_after) -> void override;

    auto on_cold_notification(cold_notification_handler handler)
        -> void override;
    auto apply_cold_notification(const core::pool_name& pool,
                                 const routing::cold_notification& notification)
        -> void override;

    [[nodiscard]] auto status() const -> std::string override;

private:
    using pool_pointer = std::shared_ptr<pool_queue>;

    [[nodiscard]] auto find(const core::pool_name& pool) const -> pool_pointer;
    [[nodiscard]] auto address_of(const core::upstream_id& id) const
        -> std::string;
    auto report_notification(const core::pool_name& pool,
                             const routing::cold_notification& notification)
        -> void;
    auto refresh() -> void;
    auto update_pool(const settings::pool_settings& settings,
                     const std::vector<routing::upstream_member>& members)
        -> void;
    auto dispatch(const attempt_order& order, const attempt_hooks& hooks,
                  pool_queue& queue, const routing::dispatch& sent)
        -> attempt_conclusion;
    auto count_end(const call_outcome& outcome) -> void;
    auto advance_timers() -> core::duration;

    core::zone_name local_zone;
    const core::runtime_clock* clock = nullptr;
    core::metrics_registry* metrics = nullptr;
    fleet::config_source* config = nullptr;
    fleet::upstream_directory* directory = nullptr;

    std::mutex refresh_mutex;
    mutable std::shared_mutex mutex;
    std::map<core::pool_name, pool_pointer> queues;
    cold_notification_handler notification_handler;
    std::map<core::upstream_id, platform::instance> instances;

    std::unique_ptr<attempt_caller> caller;
    std::unique_ptr<cancel_sender> cancels;
    std::unique_ptr<load_poller> poller;
    std::unique_ptr<core::periodic_task> timers;
};

} // namespace almondtiller::services
