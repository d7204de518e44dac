#include "services/orders/orders_service.h"

#include "core/periodic_task.h"
#include "fleet/fleet.h"
#include "kernel/kernel.h"
#include "orders/orders.h"
#include "platform/platform.h"
#include "platform/platform_service.h"
#include "services/node/node_service.h"
#include "services/orders/engine_client.h"
#include "services/orders/orders_metrics.h"

#include <nlohmann/json.hpp>
#include <tbb/parallel_for.h>
#include <tbb/task_arena.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace almondtiller::services {

namespace {

using core::milliseconds;

constexpr auto cycle_pause = milliseconds(200);
constexpr auto report_interval = milliseconds(1000);
constexpr auto store_timeout = milliseconds(1000);
constexpr auto report_timeout = milliseconds(300);
constexpr auto order_timeout = milliseconds(1000);
/// An order's connection, request and answer.
constexpr auto longest_order = 3 * order_timeout;
constexpr auto report_concurrency = 8;
/// Nodes of a region that look at its lease.
constexpr auto candidate_count = std::size_t(2);
/// The margin as a part of the lease's duration.
constexpr auto margin_divisor = 20;

constexpr auto limits =
    orders::placement_limits{1, milliseconds(500), 0.34, milliseconds(15000)};

auto rank(const fleet::member& member, const std::string& region)
    -> std::uint64_t
{
    const auto text = member.id.str() + "/" + region;
    return XXH3_64bits(text.data(), text.size());
}

/// \return Whether \a self is among the region's highest ranks.
auto is_candidate(const fleet::member& self, std::vector<fleet::member> members)
    -> bool
{
    const auto region = self.region.str();
    std::erase_if(members, [&self](const auto& member) {
        return member.region != self.region ||
               member.state != fleet::member_state::alive;
    });
    const auto better = std::ranges::count_if(members, [&](const auto& other) {
        return other.id != self.id && rank(other, region) > rank(self, region);
    });
    return std::size_t(better) < candidate_count;
}

auto make_timing(milliseconds duration) -> orders::lease_timing
{
    return {duration, longest_order, duration / margin_divisor};
}

} // namespace

struct orders_service::state
{
    explicit state(const fleet::member& self, milliseconds duration)
        : identity(self),
          lease_object{"lease", self.region.str()},
          keeper(self.id.str(), self.incarnation, make_timing(duration)),
          planner(limits)
    {}

    auto run_cycle() -> core::duration
    {
        {
            const auto guard = std::lock_guard(this->mutex);
            this->keeper.set_candidate(
                is_candidate(this->identity, this->peers->members()));
        }
        this->advance_lease();
        const auto now = this->clock->now();
        const auto holds = this->is_holder(now);
        this->metrics->gauge_for(lease_held).set(holds ? 1.0 : 0.0);
        if (!holds) {
            this->planner.reset();
            this->reports.clear();
            return cycle_pause;
        }
        this->refresh_reports(now);
        this->give_orders();
        return cycle_pause;
    }

    auto is_holder(core::time_point now) const -> bool
    {
        const auto guard = std::lock_guard(this->mutex);
        return this->keeper.is_holder(now);
    }

    auto advance_lease() -> void
    {
        auto actions = orders::lease_actions();
        {
            const auto guard = std::lock_guard(this->mutex);
            actions = this->keeper.advance(this->clock->now());
        }
        this->perform(std::move(actions));
    }

    auto perform(orders::lease_actions actions) -> void
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

    auto read() -> orders::lease_actions
    {
        using value_type = std::pair<std::uint64_t, orders::lease_value>;
        auto value = core::result<value_type>(value_type());
        const auto object = this->store->get(this->lease_object, store_timeout);
        if (object) {
            const auto decoded = orders::decode_lease(object.value().value);
            if (decoded) {
                value = value_type(object.value().version, decoded.value());
            } else {
                value = decoded.error();
            }
        } else {
            value = object.error();
        }
        this->count_call("read", value ? std::error_code() : value.error());
        const auto guard = std::lock_guard(this->mutex);
        return this->keeper.was_read(value, this->clock->now());
    }

    auto write(const orders::write_lease& call) -> orders::lease_actions
    {
        const auto text = orders::encode(call.value);
        const auto written =
            call.expected
                ? this->store->update(this->lease_object, *call.expected, text,
                                      store_timeout)
                : this->store->create(this->lease_object, text, store_timeout);
        this->count_call("write",
                         written ? std::error_code() : written.error());
        const auto guard = std::lock_guard(this->mutex);
        return this->keeper.was_written(written, this->clock->now());
    }

    auto refresh_reports(core::time_point now) -> void
    {
        if (now < this->next_reports) {
            return;
        }
        this->next_reports = now + report_interval;
        const auto engines = this->region_engines();
        auto fetched = std::vector<core::result<engine_report>>(
            engines.size(),
            core::result<engine_report>(engine_errc::unreachable));
        this->arena.execute([&] {
            tbb::parallel_for(
                std::size_t(0), engines.size(), [&](std::size_t index) {
                    fetched[index] =
                        fetch_report(engines[index].address, report_timeout);
                });
        });
        this->reports.clear();
        for (auto index = std::size_t(0); index < engines.size(); ++index) {
            if (fetched[index]) {
                this->reports.emplace(engines[index].id,
                                      fetched[index].value());
            }
        }
    }

    /// \return The region's upstreams of pools that declare models.
    [[nodiscard]] auto region_engines() const -> std::vector<platform::instance>
    {
        const auto config = this->config->current();
        auto engines = this->directory->upstreams();
        std::erase_if(engines, [&](const platform::instance& each) {
            const auto* pool = config->find_pool(each.pool);
            return each.region != this->identity.region || pool == nullptr ||
                   pool->models.empty();
        });
        return engines;
    }

    auto plan(core::time_point now) -> std::vector<orders::placement_order>
    {
        const auto config = this->config->current();
        auto views = std::vector<orders::engine_view>();
        for (const auto& engine : this->region_engines()) {
            const auto report = this->reports.find(engine.id);
            if (report == this->reports.end()) {
                continue;
            }
            const auto serving =
                engine.state == platform::instance_state::live &&
                config->is_zone_in(engine.zone);
            views.push_back({core::upstream_id(engine.id), engine.pool, serving,
                             report->second.is_loading, report->second.state});
        }
        auto goals = std::vector<orders::pool_goal>();
        for (const auto& [name, pool] : config->pools) {
            if (!pool.models.empty()) {
                goals.push_back(
                    {name, {{pool.models.begin(), pool.models.end()}, {}, ""}});
            }
        }
        return this->planner.plan(goals, views, now);
    }

    auto give_orders() -> void
    {
        const auto engines = this->region_engines();
        for (const auto& order : this->plan(this->clock->now())) {
            const auto engine = std::ranges::find(engines, order.engine.str(),
                                                  &platform::instance::id);
            if (engine == engines.end()) {
                continue;
            }
            const auto id = this->identity.id.str() + "-" +
                            std::to_string(++this->order_count);
            const auto error = send_order(
                engine->address, id, order.desired,
                [this] {
                    const auto guard = std::lock_guard(this->mutex);
                    return this->keeper.may_order(this->clock->now());
                },
                order_timeout);
            this->metrics
                ->counter_for(orders_sent,
                              {{"result", core::error_name(error)}})
                .add();
        }
    }

    auto count_call(const char* call, const std::error_code& error) -> void
    {
        this->metrics
            ->counter_for(lease_store_calls,
                          {{"call", call}, {"result", core::error_name(error)}})
            .add();
    }

    core::runtime_clock* clock = nullptr;
    core::metrics_registry* metrics = nullptr;
    platform::object_store* store = nullptr;
    fleet::peer_bus* peers = nullptr;
    fleet::config_source* config = nullptr;
    fleet::upstream_directory* directory = nullptr;
    fleet::member identity;
    platform::object_key lease_object;

    /// Guards the keeper, which status() reads from other threads.
    mutable std::mutex mutex;
    orders::lease_keeper keeper;

    orders::placement_planner planner;
    std::map<std::string, engine_report> reports;
    core::time_point next_reports;
    std::uint64_t order_count = 0;
    tbb::task_arena arena = tbb::task_arena(report_concurrency);
    std::unique_ptr<core::periodic_task> cycle;
};

orders_service::orders_service() = default;
orders_service::~orders_service() = default;

auto orders_service::name() const -> std::string_view
{
    return orders_service_name;
}

auto orders_service::dependencies() const -> std::vector<std::string>
{
    return {platform::platform_service_name, fleet::peers_service_name,
            fleet::config_service_name, fleet::directory_service_name,
            node_service_name};
}

auto orders_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    static_cast<void>(kernel);
    return {};
}

auto orders_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    auto* config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    const auto& identity =
        kernel.find<node_service>(node_service_name)->identity();
    this->data = std::make_unique<state>(
        identity, config->current()->fleet.lease_duration);
    auto& data = *this->data;
    data.clock = &kernel.clock();
    data.metrics = &kernel.metrics();
    data.config = config;
    data.store =
        kernel.find<platform::object_store>(platform::platform_service_name);
    data.peers = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    data.directory =
        kernel.find<fleet::upstream_directory>(fleet::directory_service_name);
    data.cycle = std::make_unique<core::periodic_task>(
        *data.clock, [&data] { return data.run_cycle(); });
    return {};
}

auto orders_service::about_to_shutdown() -> void
{
    if (!this->data || !this->data->cycle) {
        return;
    }
    auto& data = *this->data;
    data.cycle->stop();
    auto actions = orders::lease_actions();
    {
        const auto guard = std::lock_guard(data.mutex);
        actions = data.keeper.release(data.clock->now());
    }
    data.perform(std::move(actions));
}

auto orders_service::status() const -> std::string
{
    using nlohmann::json;
    if (!this->data) {
        return "{}";
    }
    const auto& data = *this->data;
    const auto guard = std::lock_guard(data.mutex);
    const auto& seen = data.keeper.last_seen();
    return json{{"leases",
                 {{{"region", data.identity.region.str()},
                   {"holder", seen.holder},
                   {"fencing", seen.fencing},
                   {"held_here", data.keeper.is_holder(data.clock->now())}}}}}
        .dump();
}

} // namespace almondtiller::services
