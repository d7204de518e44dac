#pragma once

#include "fault_kind.h"
#include "scenario.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondtiller::experiment {

/// What one pool has cost, from the stand-ins' journals.
struct pool_cost
{
    std::uint64_t starts = 0;
    double busy_seconds = 0.0;
};

/// One run: a user's cluster, a policy, a load, and maybe faults.
struct run_row
{
    std::string user;
    std::string policy;
    std::string faults;
    double load = 0.0;
    std::uint64_t requests = 0;
    double attainment = 0.0;
    double goodput = 0.0; ///< Attained requests a second.
    std::map<std::string, double> attainment_by_class;
    std::map<std::string, pool_cost> cost_by_pool;
    std::uint64_t lost = 0;
    std::uint64_t crossed = 0;
    std::uint64_t run_twice = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t over_cold = 0;
    std::string outcomes;
};

/// What to run.
struct run_plan
{
    user_scenario scenario;
    std::string policy; ///< almondtiller or a baseline's name.
    double load = 0.8;  ///< Share of capacity.
    std::vector<fault_kind> faults;
    core::duration length = std::chrono::seconds(5);
    std::uint64_t seed = 1;
};

/// Starts a fresh cluster, sends the traffic and counts.
auto measure(const run_plan& plan) -> run_row;

constexpr auto own_policy = "almondtiller";
constexpr auto round_robin_policy = "round robin, 3 blind retries";
constexpr auto least_in_flight_policy = "least in flight, timeouts";

} // namespace almondtiller::experiment
