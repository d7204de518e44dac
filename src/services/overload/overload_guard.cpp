#include "services/overload/overload_guard.h"

#include <utility>

namespace almondtiller::overload {

namespace {

using core::metric_kind;

constexpr auto ended_info = core::metric_info{
    "almondtiller_gateway_overload_ends_total", metric_kind::counter,
    "Connections closed and requests refused to stay within the limits of "
    "memory and descriptors, by reason."};

} // namespace

overload_guard::overload_guard(event::loop& loop,
                               core::metrics_registry& registry,
                               const memory_budget::budget_limits& limits,
                               std::function<void(bool)> change_hook)
    : event_loop(loop),
      metrics(registry),
      on_change(std::move(change_hook)),
      budget(limits)
{}

auto overload_guard::add(memory_budget::port_group group,
                         const std::string& address, std::function<void()> end)
    -> std::optional<memory_budget::holder_id>
{
    const auto now = this->event_loop.now();
    const auto id = this->budget.open(group, address, now);
    this->ends[id] = std::move(end);
    while (const auto worst = this->budget.over_connections(id, now)) {
        this->count("connections");
        if (*worst == id) {
            this->remove(id);
            return std::nullopt;
        }
        this->end(*worst);
    }
    return id;
}

auto overload_guard::update(memory_budget::holder_id holder,
                            const memory_budget::holder_load& load) -> bool
{
    using memory_budget::holder_phase;
    const auto is_new_request =
        load.phase == holder_phase::running &&
        this->budget.phase(holder) != holder_phase::running;
    if (!is_new_request) {
        return this->settle(holder, load);
    }
    if (!this->budget.may_run(holder)) {
        this->count("requests");
        return false;
    }
    // Until it is passed on, it is refused rather than a running request ended.
    return (load.bytes == 0 ||
            this->settle(holder, {holder_phase::reading, load.bytes})) &&
           this->settle(holder, load);
}

auto overload_guard::settle(memory_budget::holder_id holder,
                            const memory_budget::holder_load& load) -> bool
{
    const auto now = this->event_loop.now();
    this->budget.update(holder, load, now);
    while (const auto worst = this->budget.over_bytes(now)) {
        this->count("memory");
        if (*worst == holder) {
            return false;
        }
        this->end(*worst);
    }
    return true;
}

auto overload_guard::remove(memory_budget::holder_id holder) -> void
{
    this->budget.close(holder);
    this->ends.erase(holder);
}

auto overload_guard::end(memory_budget::holder_id holder) -> void
{
    const auto found = this->ends.find(holder);
    const auto action = found == this->ends.end() ? std::function<void()>()
                                                  : std::move(found->second);
    // The account is closed first, because the end of a connection reports its
    // last load.
    this->remove(holder);
    if (action) {
        action();
    }
}

auto overload_guard::count(std::string_view reason) -> void
{
    this->metrics.counter_for(ended_info, {{"reason", std::string(reason)}})
        .add();
    this->has_acted = true;
    if (!std::exchange(this->is_overloaded, true)) {
        this->on_change(true);
    }
}

auto overload_guard::count_unread() -> void
{
    this->metrics.counter_for(ended_info, {{"reason", "unread"}}).add();
}

auto overload_guard::check() -> void
{
    if (!std::exchange(this->has_acted, false) &&
        std::exchange(this->is_overloaded, false)) {
        this->on_change(false);
    }
}

} // namespace almondtiller::overload
