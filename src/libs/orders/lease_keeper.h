#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "orders/lease_value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace almondtiller::orders {

/// Read the lease's object.
struct read_lease
{
    auto operator==(const read_lease&) const -> bool = default;
};

/// Write the lease's object; create it when there is no version.
struct write_lease
{
    std::optional<std::uint64_t> expected;
    lease_value value;

    auto operator==(const write_lease&) const -> bool = default;
};

using lease_action = std::variant<read_lease, write_lease>;
using lease_actions = std::vector<lease_action>;

/// Durations that every node of a region must agree on within the margin.
struct lease_timing
{
    core::duration duration{};
    /// The longest time for which an order may be under way.
    core::duration longest_order{};
    /// Allowance for clocks that run at different rates, and for the time
    /// between a check and the action that it allows.
    core::duration margin{};

    auto operator==(const lease_timing&) const -> bool = default;
};

/// Holds, or tries to hold, the lease of one region. Clocks of different
/// nodes are never compared: a holder counts its lease from before it sent
/// the write, an observer counts from after it read a version for the first
/// time, and takes the lease over only when that version did not change for
/// a whole duration and a margin.
class lease_keeper
{
public:
    lease_keeper(std::string node, std::uint64_t incarnation,
                 lease_timing timing);

    /// Whether this node should try to take the lease when it is free.
    auto set_candidate(bool is_candidate) -> void;

    auto advance(core::time_point now) -> lease_actions;

    /// \param read The object's version and value; not_found when absent.
    auto
    was_read(const core::result<std::pair<std::uint64_t, lease_value>>& read,
             core::time_point now) -> lease_actions;
    auto was_written(const core::result<std::uint64_t>& version,
                     core::time_point now) -> lease_actions;

    /// Gives the lease up. No order may be under way.
    auto release(core::time_point now) -> lease_actions;

    /// Must be asked directly before each order is sent.
    /// \return The fencing number of an order that is sent now and ends
    ///         within the longest order's time, or nothing when this node
    ///         may not send one.
    [[nodiscard]] auto may_order(core::time_point now) const
        -> std::optional<std::uint64_t>;

    [[nodiscard]] auto is_holder(core::time_point now) const -> bool;

    /// \return The value that was last seen or written.
    [[nodiscard]] auto last_seen() const -> const lease_value&;

private:
    struct holding
    {
        core::time_point valid_until;
        core::time_point orders_from;
        core::time_point renew_at;
    };

    struct write_under_way
    {
        lease_value value;
        core::time_point sent_at;
        bool was_free = false;
    };

    auto observe(std::uint64_t version, const lease_value& value,
                 core::time_point now) -> void;
    [[nodiscard]] auto is_free() const -> bool;
    [[nodiscard]] auto is_expired(core::time_point now) const -> bool;
    auto try_to_acquire(core::time_point now) -> lease_actions;
    auto renew(core::time_point now) -> lease_actions;
    auto send(const lease_value& value, bool was_free, core::time_point now)
        -> lease_actions;
    auto take_hold(const write_under_way& write, core::time_point now) -> void;
    auto lose() -> void;

    std::string node;
    std::uint64_t incarnation;
    lease_timing timing;
    bool is_candidate = false;

    bool has_observed = false;
    std::optional<std::uint64_t> version;
    lease_value seen;
    core::time_point first_seen_at;

    std::optional<holding> held;
    bool is_reading = false;
    std::optional<write_under_way> writing;
    /// A write whose answer was lost; settled by the next read.
    std::optional<write_under_way> unsettled;
    core::time_point next_call;
};

} // namespace almondtiller::orders
