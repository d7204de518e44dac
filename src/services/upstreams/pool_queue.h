#pragma once

#include "core/clock.h"
#include "pipeline/run_actions.h"
#include "routing/pool_scheduler.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace almondtiller::services {

/// What a pool looks like at one moment.
struct pool_view
{
    std::vector<routing::upstream_status> upstreams;
    std::size_t queued = 0;

    auto operator==(const pool_view&) const -> bool = default;
};

/// One pool's scheduler behind one mutex, with the threads that wait for
/// their dispatch. Thread-safe.
class pool_queue
{
public:
    using decision = std::variant<routing::dispatch, routing::rejection>;
    /// Called without the lock when this node saw an upstream turn cold.
    using notification_handler =
        std::function<void(const routing::cold_notification&)>;

    pool_queue(const core::runtime_clock& clock,
               const settings::pool_settings& settings,
               const core::zone_name& local_zone, std::uint64_t seed,
               notification_handler on_notification);

    auto configure(const settings::pool_settings& settings) -> void;
    auto set_members(const std::vector<routing::upstream_member>& members)
        -> void;

    /// Submits an attempt and blocks until it is dispatched or rejected.
    auto await(routing::attempt_request submitted,
               const std::function<bool()>& is_abandoned) -> decision;

    auto finish(const routing::attempt_result& result) -> void;
    auto report_load(const routing::load_report& report) -> void;
    auto grant_cold_slots(const routing::cold_grant& grant) -> void;
    auto deny_cold_slots(const core::upstream_id& id,
                         core::duration retry_after) -> void;
    auto apply_cold_notification(const routing::cold_notification& notification)
        -> void;
    auto advance() -> void;

    [[nodiscard]] auto next_timer() const -> std::optional<core::time_point>;
    [[nodiscard]] auto cold_demand() const
        -> std::map<core::upstream_id, std::uint32_t>;
    [[nodiscard]] auto cold_upstreams() const
        -> std::vector<routing::cold_upstream>;
    [[nodiscard]] auto estimate() const -> pipeline::stage_estimate;
    [[nodiscard]] auto view() const -> pool_view;

private:
    struct waiter
    {
        std::condition_variable decided;
        std::optional<decision> outcome;
    };

    auto apply(const routing::actions& taken) -> void;
    auto drop_useless_exclusions(routing::attempt_request& submitted) const
        -> void;

    auto report_notifications() -> void;

    const core::runtime_clock& clock;
    notification_handler on_notification;
    mutable std::mutex mutex;
    routing::pool_scheduler scheduler;
    std::vector<routing::upstream_member> members;
    std::unordered_map<core::attempt_id, waiter*> waiters;
};

} // namespace almondtiller::services
