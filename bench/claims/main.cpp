// Measures what claims cost: store calls for each non-idempotent request and
// the time to claim, against one object for each key.

#include "core/histogram.h"
#include "harness/http_call.h"
#include "harness/process.h"
#include "kernel/kernel.h"
#include "local_peers.h"
#include "platform/platform_service.h"
#include "services/claims/claims_service.h"
#include "services/http/http_service.h"
#include "services/node/node_service.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

namespace {

using namespace almondtiller;

constexpr auto call_timeout = core::milliseconds(2000);
constexpr auto claim_deadline = core::milliseconds(5000);

struct bench_options
{
    std::uint32_t nodes = 6;
    std::uint32_t threads = 16;
    std::uint32_t requests = 500;
};

/// One way of claiming: executes the request of that number at a node.
using claim_way = std::function<bool(std::uint32_t node, std::uint32_t number)>;

struct way_figures
{
    std::uint64_t granted = 0;
    std::uint64_t store_calls = 0;
    double seconds = 0;
    core::duration median{};
    core::duration p99{};
};

auto make_node(std::uint32_t index, const std::string& platform,
               claims_bench::local_network& network)
    -> std::unique_ptr<kernel::service_kernel>
{
    auto self = fleet::member();
    self.id = core::node_id("n" + std::to_string(index));
    self.zone = core::zone_name("a");
    self.region = core::region_name("r");
    auto kernel = std::make_unique<kernel::service_kernel>();
    auto http = services::http_options();
    http.address = "127.0.0.1";
    kernel->add(std::make_unique<services::http_service>(http));
    kernel->add(std::make_unique<services::node_service>(self, "127.0.0.1"));
    kernel->add(std::make_unique<platform::platform_service>(platform));
    kernel->add(std::make_unique<claims_bench::local_peers>(network, self));
    kernel->add(std::make_unique<services::claims_service>());
    return kernel->start() ? nullptr : std::move(kernel);
}

auto claim_in_bucket(kernel::service_kernel& kernel, std::uint32_t number)
    -> bool
{
    auto* claims =
        kernel.find<services::claim_registry>(services::claims_service_name);
    auto request = services::claim_request();
    request.workspace = core::workspace_name("w");
    request.idempotency_key = "key-" + std::to_string(number);
    request.fingerprint = "f";
    request.deadline = kernel.clock().now() + claim_deadline;
    const auto decided = claims->acquire(request);
    if (!decided ||
        !std::holds_alternative<services::claim_granted>(decided.value())) {
        return false;
    }
    const auto& granted = std::get<services::claim_granted>(decided.value());
    return !claims->finish(granted.claim, services::claim_end::completed,
                           "{\"output\":\"done\"}");
}

auto claim_in_object(platform::object_store& store, std::uint32_t number)
    -> bool
{
    const auto key =
        platform::object_key{"single-claim", std::to_string(number)};
    const auto created = store.create(key, "{\"s\":0}", call_timeout);
    return created && store.update(key, created.value(),
                                   "{\"s\":1,\"a\":\"done\"}", call_timeout);
}

auto total_calls(const std::string& platform) -> std::uint64_t
{
    const auto answer = harness::http_call(platform, "/admin/stats");
    const auto stats = nlohmann::json::parse(answer.body);
    auto sum = std::uint64_t(0);
    for (const auto& [name, count] : stats.at("calls").items()) {
        sum += count.get<std::uint64_t>();
    }
    return sum;
}

auto measure(const bench_options& options, const std::string& platform,
             const claim_way& claim) -> way_figures
{
    const auto clock = core::runtime_clock();
    auto latencies = core::latency_histogram();
    auto granted = std::atomic<std::uint64_t>(0);
    auto next = std::atomic<std::uint32_t>(0);
    const auto calls_before = total_calls(platform);
    const auto started = clock.now();
    auto threads = std::vector<std::thread>();
    for (auto index = 0U; index < options.threads * options.nodes; ++index) {
        threads.emplace_back([&, index] {
            while (true) {
                const auto number = next.fetch_add(1);
                if (number >= options.requests * options.nodes) {
                    return;
                }
                const auto begun = clock.now();
                granted += claim(index % options.nodes, number) ? 1U : 0U;
                latencies.record(clock.now() - begun);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto elapsed = clock.now() - started;
    return {granted, total_calls(platform) - calls_before,
            std::chrono::duration<double>(elapsed).count(),
            latencies.quantile(0.5), latencies.quantile(0.99)};
}

auto print(const char* name, const way_figures& figures) -> void
{
    const auto ms = [](core::duration value) {
        return std::chrono::duration<double, std::milli>(value).count();
    };
    std::cout << std::left << std::setw(20) << name << std::right
              << std::setw(9) << figures.granted << std::setw(13)
              << figures.store_calls << std::fixed << std::setprecision(2)
              << std::setw(12)
              << double(figures.store_calls) / double(figures.granted)
              << std::setw(12) << double(figures.granted) / figures.seconds
              << std::setw(10) << ms(figures.median) << std::setw(10)
              << ms(figures.p99) << '\n';
}

auto run(const bench_options& options) -> int
{
    const auto output = std::filesystem::temp_directory_path() /
                        ("claims_bench." + std::to_string(getpid()));
    const auto platform_process = harness::process(
        "fake_platform", {"--listen", "127.0.0.1:0"}, output.string());
    const auto platform = platform_process.wait_for_line("listening ");
    auto network = claims_bench::local_network();
    auto kernels = std::vector<std::unique_ptr<kernel::service_kernel>>();
    for (auto index = 0U; index < options.nodes; ++index) {
        kernels.push_back(make_node(index, platform, network));
    }
    auto store = platform::http_object_store(platform);
    std::cout << "way                   granted  store calls  calls/req"
                 "    granted/s  p50 ms    p99 ms\n";
    print("object for each key",
          measure(options, platform, [&store](auto, auto number) {
              return claim_in_object(store, number);
          }));
    print("buckets of claims",
          measure(options, platform, [&kernels](auto node, auto number) {
              return claim_in_bucket(*kernels[node], number);
          }));
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    namespace po = boost::program_options;
    auto options = bench_options();
    auto all = po::options_description("claims_bench");
    all.add_options()("help", "show this text")(
        "nodes", po::value(&options.nodes), "nodes, in this process")(
        "threads", po::value(&options.threads), "callers at each node")(
        "requests", po::value(&options.requests), "requests at each node");
    auto values = po::variables_map();
    try {
        po::store(po::parse_command_line(argc, argv, all), values);
        po::notify(values);
    } catch (const po::error& failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << all;
        return 0;
    }
    return run(options);
}
