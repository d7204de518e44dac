#include "measure.h"

#include "baseline.h"
#include "harness/journal_check.h"
#include "harness/wait.h"
#include "settings/declaration_files.h"

#include <iostream>
#include <memory>

namespace almondtiller::experiment {

namespace {

using harness::call_outcome;

constexpr auto workers = std::size_t(256);
constexpr auto microseconds_per_second = 1e6;

auto make_sender(harness::cluster& cluster, const run_plan& plan)
    -> load::traffic_sender
{
    if (plan.policy == own_policy) {
        return load::send_by_endpoints(cluster.node_addresses(),
                                       plan.scenario.plan.zones, workers);
    }
    const auto folder =
        harness::source_folder() + "/" + plan.scenario.plan.declarations;
    const auto declared =
        settings::resolve(settings::load_tree(folder).tree, 1);
    const auto policy = plan.policy == round_robin_policy
                            ? baseline_policy::round_robin_with_retries
                            : baseline_policy::least_in_flight_with_timeouts;
    return send_by_baseline(cluster, declared, policy, workers);
}

auto cost_of(const std::vector<std::string>& journals) -> pool_cost
{
    auto cost = pool_cost();
    auto started = std::map<std::string, std::int64_t>();
    for (const auto& entry : harness::read_journals(journals)) {
        if (entry.event == "start") {
            ++cost.starts;
            started[entry.attempt] = entry.time_us;
        } else if (const auto found = started.find(entry.attempt);
                   found != started.end()) {
            cost.busy_seconds +=
                double(entry.time_us - found->second) / microseconds_per_second;
            started.erase(found);
        }
    }
    return cost;
}

auto count_keys(const run_plan& plan, const harness::cluster& cluster,
                const std::vector<load::traffic_record>& records, run_row& row)
    -> void
{
    const auto desk = harness::summarize(
        harness::read_journals(cluster.journals(plan.scenario.desk_pool)));
    row.run_twice = harness::keys_run_twice(desk);
    for (const auto& record : records) {
        if (record.key.empty()) {
            continue;
        }
        const auto& kind = plan.scenario.classes[record.class_index];
        const auto has_run = desk.starts_by_key.contains(
            kind.request.workspace + "/" + record.key);
        const auto is_whole =
            record.result.last.outcome == call_outcome::complete;
        row.lost += is_whole && !has_run ? 1 : 0;
        row.false_not_run +=
            record.result.is_surely_not_run() && has_run ? 1 : 0;
    }
}

auto count_classes(const run_plan& plan,
                   const std::vector<load::traffic_record>& records,
                   run_row& row) -> void
{
    auto all = std::map<std::string, double>();
    auto attained = std::map<std::string, double>();
    for (const auto& record : records) {
        const auto& name = plan.scenario.classes[record.class_index].name;
        all[name] += 1.0;
        attained[name] += record.attained ? 1.0 : 0.0;
    }
    for (const auto& [name, number] : all) {
        row.attainment_by_class[name] = attained[name] / number;
    }
}

auto strike(harness::cluster& cluster, const run_plan& plan) -> void
{
    if (plan.faults.empty()) {
        return;
    }
    const auto& engines = plan.scenario.plan.pools[3].pool;
    const auto& service = plan.scenario.plan.pools.back().pool;
    const auto part =
        std::chrono::duration_cast<core::milliseconds>(plan.length / 4);
    harness::let_pass(part);
    for (const auto kind : plan.faults) {
        begin_fault(cluster, kind, engines, service);
    }
    harness::let_pass(2 * part);
    for (const auto kind : plan.faults) {
        end_fault(cluster, kind);
    }
}

} // namespace

auto measure(const run_plan& plan) -> run_row
{
    auto cluster = harness::cluster(plan.scenario.plan);
    for (const auto& kind : plan.scenario.classes) {
        auto trial = kind.request;
        trial.idempotency_key = kind.is_repeatable ? "" : "trial";
        if (!cluster.wait_until_serving(trial)) {
            std::cerr << kind.name << ": the nodes did not serve\n";
        }
    }
    auto wanted = load::traffic_plan();
    wanted.classes = plan.scenario.classes;
    wanted.rate = plan.scenario.capacity * plan.load;
    wanted.length = plan.length;
    wanted.seed = plan.seed;
    wanted.workers = workers;
    auto traffic = load::traffic(wanted, make_sender(cluster, plan));
    strike(cluster, plan);
    const auto& records = traffic.finish();
    auto row = run_row();
    row.user = plan.scenario.name;
    row.policy = plan.policy;
    row.load = plan.load;
    for (const auto kind : plan.faults) {
        row.faults += (row.faults.empty() ? "" : " + ") + to_string(kind);
    }
    row.requests = records.size();
    row.attainment = load::attainment(records);
    row.goodput = row.attainment * double(records.size()) /
                  std::chrono::duration<double>(plan.length).count();
    row.outcomes = load::describe(records);
    row.crossed = load::count(records, call_outcome::crossed);
    row.over_cold =
        harness::summarize(harness::read_journals(cluster.journals()))
            .over_cold;
    count_classes(plan, records, row);
    count_keys(plan, cluster, records, row);
    for (const auto& pool : plan.scenario.plan.pools) {
        row.cost_by_pool[pool.pool] = cost_of(cluster.journals(pool.pool));
    }
    return row;
}

} // namespace almondtiller::experiment
