#pragma once

#include "harness/user_plans.h"
#include "load/traffic.h"

#include <string>
#include <vector>

namespace almondtiller::experiment {

/// One user's cluster and mix of requests.
struct user_scenario
{
    std::string name;
    harness::cluster_plan plan;
    std::vector<load::traffic_class> classes;
    /// Requests a second that the engines bear.
    double capacity = 0.0;
    /// Pool and pipeline whose requests may not be repeated.
    std::string desk_pool;
};

auto grua_norte_scenario() -> user_scenario;
auto ikaze_scenario() -> user_scenario;

} // namespace almondtiller::experiment
