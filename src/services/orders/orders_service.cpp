#include "services/orders/orders_service.h"

#include "core/periodic_task.h"
#include "fleet/fleet.h"
#include "kernel/kernel.h"
#include "logging/logging.h"
#include "orders/orders.h"
#include "platform/platform.h"
#include "platform/platform_service.h"
#include "services/node/node_service.h"
#include "services/orders/engine_client.h"
#include "services/orders/lease_shell.h"
#include "services/orders/orders_metrics.h"

#include <nlohmann/json.hpp>
#include <tbb/parallel_for.h>
#include <tbb/task_arena.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace almondtiller::services {

namespace {

using core::milliseconds;

constexpr auto cycle_pause = milliseconds(200);
constexpr auto report_interval = milliseconds(1000);
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
    state(kernel::service_kernel& kernel, const fleet::member& self)
        : clock(&kernel.clock()),
          metrics(&kernel.metrics()),
          peers(kernel.find<fleet::peer_bus>(fleet::peers_service_name)),
          config(kernel.find<fleet::config_source>(fleet::config_service_name)),
          directory(kernel.find<fleet::upstream_directory>(
              fleet::directory_service_name)),
          identity(self),
          lease(self.region.str(),
                orders::lease_keeper(
                    self.id.str(), self.incarnation,
                    make_timing(this->config->current()->fleet.lease_duration)),
                *kernel.find<platform::object_store>(
                    platform::platform_service_name),
                kernel.clock(), kernel.metrics()),
          planner(limits)
    {}

    auto run_cycle() -> core::duration
    {
        this->lease.advance(
            is_candidate(this->identity, this->peers->members()));
        const auto now = this->clock->now();
        const auto holds = this->lease.is_holder();
        this->note_holding(holds);
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

    auto note_holding(bool holds) -> void
    {
        if (holds != this->was_holder) {
            logging::state_change(holds ? "lease_acquired" : "lease_lost",
                                  {{"region", this->identity.region.str()}});
        }
        this->was_holder = holds;
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
                [this] { return this->lease.may_order(); }, order_timeout);
            this->metrics
                ->counter_for(orders_sent,
                              {{"result", core::error_name(error)}})
                .add();
        }
    }

    core::runtime_clock* clock;
    core::metrics_registry* metrics;
    fleet::peer_bus* peers;
    fleet::config_source* config;
    fleet::upstream_directory* directory;
    fleet::member identity;

    lease_shell lease;
    orders::placement_planner planner;
    std::map<std::string, engine_report> reports;
    core::time_point next_reports;
    bool was_holder = false;
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
    const auto& identity =
        kernel.find<node_service>(node_service_name)->identity();
    this->data = std::make_unique<state>(kernel, identity);
    auto& data = *this->data;
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
    data.lease.release();
}

auto orders_service::status() const -> std::string
{
    using nlohmann::json;
    if (!this->data) {
        return "{}";
    }
    const auto& data = *this->data;
    const auto seen = data.lease.last_seen();
    return json{{"leases",
                 {{{"region", data.identity.region.str()},
                   {"holder", seen.holder},
                   {"fencing", seen.fencing},
                   {"held_here", data.lease.is_holder()}}}}}
        .dump();
}

} // namespace almondtiller::services
