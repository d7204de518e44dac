#include "output.h"

#include <boost/program_options.hpp>

#include <exception>
#include <fstream>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace almondtiller;
using namespace almondtiller::experiment;

struct experiment_flags
{
    bool loads = true;
    bool faults = true;
    bool pairs = false;
    int seconds = 5;
    std::uint64_t seed = 1;
    std::string output = "experiment";
};

auto parse(int argc, char** argv, experiment_flags& flags) -> bool
{
    auto all = po::options_description(
        "Compares almondtiller with two baselines, and under faults");
    auto add = all.add_options();
    add("help", "show this text");
    add("loads", po::value(&flags.loads), "run the loads");
    add("faults", po::value(&flags.faults), "run each fault");
    add("pairs", po::value(&flags.pairs), "run each pair of faults");
    add("seconds", po::value(&flags.seconds), "length of each run");
    add("seed", po::value(&flags.seed), "of the schedules");
    add("output", po::value(&flags.output), "path without .json and .svg");
    try {
        auto values = po::variables_map();
        po::store(po::parse_command_line(argc, argv, all), values);
        po::notify(values);
        if (values.count("help") == 0) {
            return true;
        }
        std::cout << all;
    } catch (const po::error& failure) {
        std::cerr << failure.what() << '\n';
    }
    return false;
}

auto load_plans(const experiment_flags& flags) -> std::vector<run_plan>
{
    auto plans = std::vector<run_plan>();
    for (const auto& scenario : {grua_norte_scenario(), ikaze_scenario()}) {
        for (const auto load : {0.5, 0.8, 1.0, 1.2}) {
            for (const auto* policy :
                 {own_policy, round_robin_policy, least_in_flight_policy}) {
                plans.push_back({scenario,
                                 policy,
                                 load,
                                 {},
                                 std::chrono::seconds(flags.seconds),
                                 flags.seed});
            }
        }
    }
    return plans;
}

auto fault_plans(const experiment_flags& flags) -> std::vector<run_plan>
{
    constexpr auto load = 0.6;
    auto plans = std::vector<run_plan>();
    const auto faults = every_fault();
    const auto add = [&](std::vector<fault_kind> kinds) {
        plans.push_back({grua_norte_scenario(), own_policy, load,
                         std::move(kinds), std::chrono::seconds(flags.seconds),
                         flags.seed});
    };
    for (auto first = std::size_t(0); first < faults.size(); ++first) {
        if (flags.faults) {
            add({faults[first]});
        }
        for (auto second = first + 1; flags.pairs && second < faults.size();
             ++second) {
            add({faults[first], faults[second]});
        }
    }
    return plans;
}

auto run_experiment(const experiment_flags& flags) -> int
{
    auto plans = flags.loads ? load_plans(flags) : std::vector<run_plan>();
    const auto faults = fault_plans(flags);
    plans.insert(plans.end(), faults.begin(), faults.end());
    auto rows = std::vector<run_row>();
    auto broken = std::uint64_t(0);
    std::cout << table_heading() << std::endl;
    for (const auto& plan : plans) {
        const auto row = measure(plan);
        std::cout << to_line(row) << std::endl;
        if (plan.policy == own_policy) {
            broken += row.lost + row.crossed + row.run_twice +
                      row.false_not_run + row.over_cold;
        }
        rows.push_back(row);
        std::ofstream(flags.output + ".json") << to_json(rows) << '\n';
    }
    std::ofstream(flags.output + ".svg") << to_svg(rows);
    std::cout << "invariants broken by almondtiller: " << broken << '\n';
    return broken == 0 ? 0 : 1;
}

} // namespace

/// Exit status 1 when almondtiller broke an invariant in any run.
auto main(int argc, char** argv) -> int
{
    auto flags = experiment_flags();
    if (!parse(argc, argv, flags)) {
        return 2;
    }
    try {
        return run_experiment(flags);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
