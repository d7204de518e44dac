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

/// Action: read the lease's object.
struct read_lease
{
    auto operator==(const read_lease&) const -> bool = default;
};

/// Action: write the lease's object if it still has the expected version, or
/// create it when \a expected is empty.
struct write_lease
{
    std::optional<std::uint64_t> expected;
    lease_value value;

    auto operator==(const write_lease&) const -> bool = default;
};

using lease_action = std::variant<read_lease, write_lease>;
using lease_actions = std::vector<lease_action>;

/// Durations of the lease protocol. The values of any two nodes of a region
/// must not differ by more than the margin.
struct lease_timing
{
    core::duration duration{};
    /// Maximum time for which an order may be in flight.
    core::duration longest_order{};
    /// Allowance for clocks that run at different rates and for the time
    /// between a check and the action that depends on it.
    core::duration margin{};

    auto operator==(const lease_timing&) const -> bool = default;
};

/// Acquires and renews the lease of one region. Clocks of different nodes are
/// never compared. The holder counts the lease duration from the time before
/// it sent the write. Another node counts from the time after it first read a
/// version, and takes the lease over only when this version has not changed
/// for the lease duration plus the margin.
class lease_keeper
{
public:
    lease_keeper(std::string node, std::uint64_t incarnation,
                 lease_timing timing);

    /// Sets whether this node acquires the lease when it is free or expired.
    auto set_candidate(bool is_candidate) -> void;

    /// Drops an expired lease and returns the next due store call, if any.
    auto advance(core::time_point now) -> lease_actions;

    /// Handles the result of a read_lease action.
    /// \param read The object's version and value, or the error; not_found
    ///             means that no lease exists.
    auto
    was_read(const core::result<std::pair<std::uint64_t, lease_value>>& read,
             core::time_point now) -> lease_actions;

    /// Handles the result of a write_lease action.
    /// \param version The version of the written object, or the error.
    auto was_written(const core::result<std::uint64_t>& version,
                     core::time_point now) -> lease_actions;

    /// Releases the lease and stops being a candidate.
    /// \pre No order is in flight.
    auto release(core::time_point now) -> lease_actions;

    /// Must be called directly before each order is sent.
    /// \return The fencing token for an order that is sent now and ends
    ///         within longest_order; empty when this node must not send
    ///         orders.
    [[nodiscard]] auto may_order(core::time_point now) const
        -> std::optional<std::uint64_t>;

    [[nodiscard]] auto is_holder(core::time_point now) const -> bool;

    /// \return The lease value that was last read or written.
    [[nodiscard]] auto last_seen() const -> const lease_value&;

private:
    struct held_lease
    {
        core::time_point valid_until;
        core::time_point orders_allowed_from;
        core::time_point renew_at;
    };

    struct write_in_flight
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
    auto confirm_lease(const write_in_flight& write, core::time_point now)
        -> void;
    auto drop_lease() -> void;

    std::string node;
    std::uint64_t incarnation;
    lease_timing timing;
    bool is_candidate = false;

    bool has_observed = false;
    std::optional<std::uint64_t> version;
    lease_value observed;
    core::time_point first_observed_at;

    std::optional<held_lease> held;
    bool is_reading = false;
    std::optional<write_in_flight> writing;
    /// A write with an unknown outcome; the next read resolves it.
    std::optional<write_in_flight> unconfirmed_write;
    core::time_point next_call;
};

} // namespace almondtiller::orders
