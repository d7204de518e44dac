#pragma once

#include "routing/attempt_request.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondtiller::routing {

/// Result of trying to place a queued attempt on an upstream.
enum class placement
{
    placed,
    /// No upstream is available for this attempt; one may be for another.
    skipped,
    /// No upstream is available for any attempt.
    blocked,
};

/// The bounded queue of a pool. Larger priorities come first, but each
/// priority gets a turn after at most turns_before_lower turns of others.
/// Within a priority, workspaces share by start-time fair queuing (Goyal et
/// al., SIGCOMM 1996). Within a workspace, the earliest deadline comes first.
/// When the queue is full, the workspace with the most queued attempts
/// relative to its weight loses its least urgent one.
class wait_queue
{
public:
    using placer = std::function<placement(const attempt_request&)>;

    explicit wait_queue(std::uint32_t capacity);

    auto set_capacity(std::uint32_t capacity) -> void;

    /// \return The attempt that was displaced because the queue was full, which
    ///         may be \a item itself; empty when there was space.
    [[nodiscard]] auto push(attempt_request item)
        -> std::optional<attempt_request>;

    /// \return The removed attempt; empty when it was not queued.
    [[nodiscard]] auto remove(const core::attempt_id& id)
        -> std::optional<attempt_request>;

    /// Removes every attempt whose remaining time is no longer than its
    /// min_budget.
    [[nodiscard]] auto take_expired(core::time_point now)
        -> std::vector<attempt_request>;

    /// Removes every attempt.
    [[nodiscard]] auto take_all() -> std::vector<attempt_request>;

    /// Passes attempts to \a place in order until one is placed, and removes
    /// that one.
    /// \param cost Estimated cost, charged to its workspace immediately.
    [[nodiscard]] auto take_next(const placer& place, double cost)
        -> std::optional<attempt_request>;

    /// Corrects the cost charged for a dispatched attempt.
    /// \param correction Measured cost minus estimated cost.
    auto charge(const attempt_request& item, double correction) -> void;

    /// \return The estimated number of attempts dispatched before \a item.
    [[nodiscard]] auto attempts_ahead(const attempt_request& item) const
        -> double;

    [[nodiscard]] auto queued(const core::workspace_name& workspace) const
        -> std::uint32_t;
    [[nodiscard]] auto size() const -> std::size_t;

    /// \return When take_expired() must be called next; empty when nothing is
    ///         queued.
    [[nodiscard]] auto next_expiry() const -> std::optional<core::time_point>;

    /// Number of turns of other priorities after which a priority gets one.
    static constexpr auto turns_before_lower = 8U;

private:
    using sequence = std::uint64_t;

    /// The queued attempts of one workspace at one priority.
    struct flow
    {
        core::workspace_name workspace;
        double start_tag = 0.0;
        std::set<std::pair<core::time_point, sequence>> items;
    };
    struct priority_class
    {
        double virtual_time = 0.0;
        double max_start_tag = 0.0;
        std::size_t sweep_threshold = 0;
        std::uint32_t turns_missed = 0;
        std::size_t queued = 0;
        std::unordered_map<core::workspace_name, flow> flows;
        std::set<std::pair<double, core::workspace_name>> ready;
    };
    struct workspace_load
    {
        std::uint32_t queued = 0;
        std::uint32_t weight = 1;
    };

    auto extract(sequence number) -> attempt_request;
    auto enqueue(const attempt_request& item, sequence number) -> void;
    auto advance_start(priority_class& level, flow& changed, double step)
        -> void;
    auto remove_idle_flows(priority_class& level) -> void;
    auto end_busy_period(priority_class& level) -> void;
    [[nodiscard]] auto least_urgent() const -> sequence;
    [[nodiscard]] auto class_order() const -> std::vector<std::int32_t>;
    auto update_missed_turns(std::int32_t served) -> void;

    std::uint32_t capacity;
    sequence next_sequence = 0;
    std::unordered_map<sequence, attempt_request> items;
    std::unordered_map<core::attempt_id, sequence> sequence_by_id;
    std::set<std::pair<core::time_point, sequence>> expiries;
    std::map<std::int32_t, priority_class, std::greater<>> classes;
    std::map<core::workspace_name, workspace_load> workspaces;
};

} // namespace almondtiller::routing
