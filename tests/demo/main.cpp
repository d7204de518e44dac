#include "harness/harness.h"

#include <nlohmann/json.hpp>

#include <array>
#include <exception>
#include <iomanip>
#include <iostream>
#include <string>

namespace {

using namespace almondtiller;
using harness::call_outcome;

struct demo_call
{
    std::string title;
    harness::call_request request;
};

auto demo_calls() -> std::array<demo_call, 3>
{
    auto redraft = harness::call_request();
    redraft.workspace = "santurtzi-container";
    redraft.pipeline = "berth-redraft";
    redraft.marker = "redraft-1";
    redraft.answer_tokens = 48;
    auto commentary = redraft;
    commentary.pipeline = "vessel-commentary";
    commentary.marker = "commentary-1";
    commentary.stream = true;
    commentary.deadline = core::milliseconds(10000);
    auto gang = harness::call_request();
    gang.workspace = "bilbao-bulk";
    gang.pipeline = "gang-confirmation";
    gang.marker = "gang-1";
    gang.idempotency_key = "crane-4-gang-7";
    return {demo_call{"plan redraft", redraft},
            demo_call{"streamed commentary", commentary},
            demo_call{"gang confirmation", gang}};
}

auto to_ms(core::duration value) -> double
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// \return Whether every answer was whole.
auto run_calls(harness::cluster& cluster) -> bool
{
    auto rows = std::string();
    auto all_whole = true;
    auto next_node = std::size_t(0);
    for (const auto& call : demo_calls()) {
        auto& node = cluster.nodes().at(next_node++);
        const auto result = harness::caller(node.address).run(call.request);
        all_whole = all_whole && result.outcome == call_outcome::complete;
        std::cout << "== " << call.title << " (" << node.id << ", " << node.zone
                  << ")\n"
                  << result.text << "\n\n";
        auto row = std::ostringstream();
        row << std::left << std::setw(22) << call.title << std::setw(12)
            << to_string(result.outcome) << std::right << std::setw(8)
            << result.tokens << std::setw(10) << result.attempts << std::fixed
            << std::setprecision(1) << std::setw(10) << to_ms(result.latency)
            << '\n';
        rows += row.str();
    }
    std::cout << "request               outcome       tokens  attempts  "
                 "ms\n"
              << rows;
    return all_whole;
}

auto print_cluster(harness::cluster& cluster) -> void
{
    for (const auto& node : cluster.nodes()) {
        std::cout << node.id << ' ' << node.zone << ' ' << node.address << '\n';
    }
    std::cout << cluster.upstreams().size() << " upstreams\n\n";
}

auto run_demo() -> int
{
    auto cluster =
        harness::cluster(harness::grua_norte_plan(harness::plan_options()));
    auto lookup = harness::call_request();
    lookup.workspace = "axpe-general";
    lookup.pipeline = "plan-lookup";
    if (!cluster.wait_until_serving(lookup)) {
        std::cerr << "the nodes did not become ready\n";
        return 1;
    }
    print_cluster(cluster);
    const auto all_whole = run_calls(cluster);
    const auto summary = harness::summarize(
        harness::read_journals(cluster.journals("gang-desk")));
    std::cout << "\ngang confirmations executed: " << summary.started << '\n';
    const auto stopped = cluster.stop_nodes();
    std::cout << "graceful shutdowns: " << (stopped ? "all" : "not all")
              << '\n';
    return all_whole && stopped && summary.started == 1 ? 0 : 1;
}

} // namespace

/// Starts stand-ins and six nodes for examples/grua-norte, makes three calls
/// and stops everything.
auto main() -> int
{
    try {
        return run_demo();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
