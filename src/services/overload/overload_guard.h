#pragma once

#include "core/metrics.h"
#include "event/loop.h"
#include "memory_budget/memory_budget.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace almondtiller::overload {

/// Carries out the decisions of a node's memory budget: ends connections and
/// refuses requests.
class overload_guard
{
public:
    /// \param on_change Called when the node begins (true) or stops to end
    ///        connections or refuse requests because of its limits.
    overload_guard(event::loop& event_loop, core::metrics_registry& metrics,
                   const memory_budget::budget_limits& limits,
                   std::function<void(bool)> on_change);

    /// Opens the account of an accepted connection; may end others.
    /// \param end Ends the connection; called at most once. It refuses a
    ///        request that was not passed on.
    /// \return Nothing if the connection itself must be closed.
    auto add(memory_budget::port_group group, const std::string& address,
             std::function<void()> end)
        -> std::optional<memory_budget::holder_id>;

    /// Records a load; may end other connections.
    /// \return False if the holder itself must end. If it is about to run a
    ///         request, it must refuse that request.
    auto update(memory_budget::holder_id holder,
                const memory_budget::holder_load& load) -> bool;

    auto remove(memory_budget::holder_id holder) -> void;

    /// Counts a connection that was closed because its response was not read.
    auto count_unread() -> void;

    /// Reports the end of overload if nothing was ended or refused since the
    /// last call.
    auto check() -> void;

private:
    /// Records a load and ends others until the bytes are within the limit.
    /// \return False if the holder itself must end.
    auto settle(memory_budget::holder_id holder,
                const memory_budget::holder_load& load) -> bool;
    auto end(memory_budget::holder_id holder) -> void;
    auto count(std::string_view reason) -> void;

    event::loop& event_loop;
    core::metrics_registry& metrics;
    std::function<void(bool)> on_change;
    memory_budget::memory_budget budget;
    std::map<memory_budget::holder_id, std::function<void()>> ends;
    bool is_overloaded = false;
    bool has_acted = false;
};

} // namespace almondtiller::overload
