#include "harness/harness.h"
#include "load/load.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace almondtiller;

constexpr auto workers = std::size_t(32);
constexpr auto call_rate = 200.0;
constexpr auto call_time = std::chrono::seconds(10);
constexpr auto call_seed = 20261204U;
constexpr auto stream_count = std::size_t(64);
constexpr auto stream_workers = std::size_t(8);
constexpr auto tokens_per_stream = 4000U;

auto overhead_plan() -> harness::cluster_plan
{
    auto plan = harness::cluster_plan();
    plan.region = "bench";
    plan.zones = {"bench-a"};
    plan.nodes = 1;
    plan.declarations = "bench/overhead/declarations";
    plan.pools.push_back({"echo-service",
                          2,
                          "fake_service",
                          {"--service-ms", "2", "--capacity", "64"},
                          false});
    plan.pools.push_back({"token-engine",
                          4,
                          "fake_engine",
                          {"--service-ms", "1", "--capacity", "16"},
                          false});
    return plan;
}

auto echo_request(const std::string& marker) -> harness::call_request
{
    auto request = harness::call_request();
    request.workspace = "bench";
    request.pipeline = "echo";
    request.marker = marker;
    return request;
}

auto direct_call(load::upstream_connection& connection,
                 const std::string& marker) -> harness::call_result
{
    auto request = load::upstream_request();
    request.attempt = marker;
    request.request = marker;
    request.workspace = "bench";
    request.input = R"({"marker":")" + marker + R"("})";
    auto result = harness::call_result();
    if (connection.call(request).complete) {
        result.outcome = harness::call_outcome::complete;
    }
    return result;
}

/// Sends calls in turn to a stand-in directly and through the node.
auto measure_calls(harness::cluster& cluster, load::report& direct,
                   load::report& through) -> void
{
    const auto services = cluster.pool("echo-service");
    auto connections = std::vector<load::upstream_connection>();
    auto callers = std::vector<harness::caller>();
    for (auto worker = std::size_t(0); worker < workers; ++worker) {
        connections.emplace_back(services[worker % services.size()]->address);
        callers.emplace_back(cluster.nodes().front().address);
    }
    const auto send = [&](std::size_t index, std::size_t worker,
                          core::time_point intended) {
        const auto marker = "call-" + std::to_string(index);
        const auto is_direct = index % 2 == 0;
        const auto result = is_direct
                                ? direct_call(connections[worker], marker)
                                : callers[worker].run(echo_request(marker));
        const auto latency = harness::now() - intended;
        (is_direct ? direct : through).record(result, latency, true);
    };
    load::run_open_loop(load::poisson_schedule(call_rate, call_time, call_seed),
                        workers, send);
}

struct stream_figures
{
    std::uint64_t tokens = 0;
    std::uint64_t whole = 0;
    double cpu_seconds = 0.0;
    double wall_seconds = 0.0;
};

auto measure_streams(harness::cluster& cluster) -> stream_figures
{
    auto& node = cluster.nodes().front();
    auto callers = std::vector<harness::caller>();
    for (auto worker = std::size_t(0); worker < stream_workers; ++worker) {
        callers.emplace_back(node.address);
    }
    auto results = load::report();
    const auto cpu_before = node.program->usage().cpu_seconds;
    const auto start = harness::now();
    load::run_open_loop(
        load::schedule(stream_count, core::duration::zero()), stream_workers,
        [&](std::size_t index, std::size_t worker, core::time_point) {
            auto request = echo_request("stream-" + std::to_string(index));
            request.pipeline = "tokens";
            request.stream = true;
            request.deadline = core::milliseconds(30000);
            request.answer_tokens = tokens_per_stream;
            const auto result = callers[worker].run(request);
            results.record(result, result.latency, true);
        });
    const auto wall = std::chrono::duration<double>(harness::now() - start);
    return {results.tokens(), results.count(harness::call_outcome::complete),
            node.program->usage().cpu_seconds - cpu_before, wall.count()};
}

auto print(const load::report& direct, const load::report& through,
           const stream_figures& streams) -> bool
{
    const auto added = [&](double quantile) {
        return through.quantile_ms(quantile) - direct.quantile_ms(quantile);
    };
    const auto per_core = double(streams.tokens) / streams.cpu_seconds;
    constexpr auto p50 = 0.5;
    constexpr auto p99 = 0.99;
    std::cout << "directly\n"
              << direct.to_table() << "through a node\n"
              << through.to_table() << "added ms: p50 " << added(p50) << " p99 "
              << added(p99) << "\nstreams: " << streams.whole << " whole, "
              << streams.tokens << " tokens in " << streams.wall_seconds
              << " s, " << streams.cpu_seconds
              << " s of the node's processor time, " << per_core
              << " tokens/s a core\n";
    std::cout
        << nlohmann::json{{"added_p50_ms", added(p50)},
                          {"added_p99_ms", added(p99)},
                          {"tokens_per_core_second", per_core},
                          {"direct", nlohmann::json::parse(direct.to_json())},
                          {"through", nlohmann::json::parse(through.to_json())}}
               .dump()
        << '\n';
    constexpr auto max_added_p50 = 0.5;
    constexpr auto max_added_p99 = 3.0;
    constexpr auto min_tokens_per_core = 50000.0;
    return added(p50) <= max_added_p50 && added(p99) <= max_added_p99 &&
           per_core >= min_tokens_per_core && streams.whole == stream_count;
}

auto run_measurement() -> int
{
    auto cluster = harness::cluster(overhead_plan());
    auto trial = echo_request("");
    if (!cluster.wait_until_serving(trial)) {
        std::cerr << "the node did not serve\n";
        return 1;
    }
    trial.pipeline = "tokens";
    cluster.wait_until_serving(trial);
    auto direct = load::report();
    auto through = load::report();
    measure_calls(cluster, direct, through);
    const auto streams = measure_streams(cluster);
    return print(direct, through, streams) ? 0 : 1;
}

} // namespace

/// Measures what a node adds to a call and how many tokens it relays in a
/// second of one core. Exit status 1 when a bound is not kept.
auto main() -> int
{
    try {
        return run_measurement();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
