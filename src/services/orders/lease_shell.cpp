#include "services/orders/lease_shell.h"

#include "core/errc.h"
#include "services/orders/orders_metrics.h"

#include <utility>

namespace almondtiller::services {

namespace {

using versioned_lease = std::pair<std::uint64_t, orders::lease_value>;

constexpr auto store_timeout = core::milliseconds(1000);

auto to_versioned(const core::result<platform::object>& read)
    -> core::result<versioned_lease>
{
    BOOST_OUTCOME_TRY(object, read);
    BOOST_OUTCOME_TRY(value, orders::decode_lease(object.value));
    return versioned_lease(object.version, value);
}

} // namespace

lease_shell::lease_shell(std::string region, orders::lease_keeper keeper,
                         platform::object_store& store,
                         core::runtime_clock& clock,
                         core::metrics_registry& metrics)
    : object{"lease", std::move(region)},
      store(store),
      clock(clock),
      metrics(metrics),
      keeper(std::move(keeper))
{}

auto lease_shell::advance(bool is_candidate) -> void
{
    auto actions = orders::lease_actions();
    {
        const auto guard = std::lock_guard(this->mutex);
        this->keeper.set_candidate(is_candidate);
        actions = this->keeper.advance(this->clock.now());
    }
    this->perform(std::move(actions));
}

auto lease_shell::release() -> void
{
    auto actions = orders::lease_actions();
    {
        const auto guard = std::lock_guard(this->mutex);
        actions = this->keeper.release(this->clock.now());
    }
    this->perform(std::move(actions));
}

auto lease_shell::is_holder() const -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    return this->keeper.is_holder(this->clock.now());
}

auto lease_shell::may_order() const -> std::optional<std::uint64_t>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->keeper.may_order(this->clock.now());
}

auto lease_shell::last_seen() const -> orders::lease_value
{
    const auto guard = std::lock_guard(this->mutex);
    return this->keeper.last_seen();
}

auto lease_shell::perform(orders::lease_actions actions) -> void
{
    while (!actions.empty()) {
        const auto action = actions.front();
        actions.erase(actions.begin());
        const auto more =
            std::holds_alternative<orders::read_lease>(action)
                ? this->read()
                : this->write(std::get<orders::write_lease>(action));
        actions.insert(actions.end(), more.begin(), more.end());
    }
}

auto lease_shell::read() -> orders::lease_actions
{
    const auto value =
        to_versioned(this->store.get(this->object, store_timeout));
    this->count("read", value ? std::error_code() : value.error());
    const auto guard = std::lock_guard(this->mutex);
    return this->keeper.was_read(value, this->clock.now());
}

auto lease_shell::write(const orders::write_lease& call)
    -> orders::lease_actions
{
    const auto text = orders::encode(call.value);
    const auto written =
        call.expected ? this->store.update(this->object, *call.expected, text,
                                           store_timeout)
                      : this->store.create(this->object, text, store_timeout);
    this->count("write", written ? std::error_code() : written.error());
    const auto guard = std::lock_guard(this->mutex);
    return this->keeper.was_written(written, this->clock.now());
}

auto lease_shell::count(const char* call, const std::error_code& error) -> void
{
    this->metrics
        .counter_for(lease_store_calls,
                     {{"call", call}, {"result", core::error_name(error)}})
        .add();
}

} // namespace almondtiller::services
