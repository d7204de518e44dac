#pragma once

#include "core/clock.h"
#include "core/metrics.h"
#include "orders/lease_keeper.h"
#include "platform/object_store.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace almondtiller::services {

/// Carries orders::lease_keeper: makes its calls to the store. advance() and
/// release() block and are called from one thread; the rest is thread-safe.
class lease_shell
{
public:
    lease_shell(std::string region, orders::lease_keeper keeper,
                platform::object_store& store, core::runtime_clock& clock,
                core::metrics_registry& metrics);

    /// Acquires or renews the lease where that is due.
    auto advance(bool is_candidate) -> void;

    /// Gives the lease up. No order may be under way.
    auto release() -> void;

    [[nodiscard]] auto is_holder() const -> bool;

    /// \return The fencing number of an order that is sent now, or nothing
    ///         when none may be sent.
    [[nodiscard]] auto may_order() const -> std::optional<std::uint64_t>;

    /// \return The value that was last seen or written.
    [[nodiscard]] auto last_seen() const -> orders::lease_value;

private:
    auto perform(orders::lease_actions actions) -> void;
    auto read() -> orders::lease_actions;
    auto write(const orders::write_lease& call) -> orders::lease_actions;
    auto count(const char* call, const std::error_code& error) -> void;

    platform::object_key object;
    platform::object_store& store;
    core::runtime_clock& clock;
    core::metrics_registry& metrics;
    mutable std::mutex mutex;
    orders::lease_keeper keeper;
};

} // namespace almondtiller::services
