/// Publishes changes of a zone's state and measures how long each takes to be
/// in force on every node.

#include "core/clock.h"
#include "core/random.h"
#include "fleet/config_publisher.h"
#include "platform/http_object_store.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace {

using namespace almondtiller;
using namespace std::chrono_literals;

constexpr auto changes = 50;
constexpr auto poll_pause = 5ms;
constexpr auto patience = 20s;
constexpr auto percentile = 0.99;

auto pause(const core::runtime_clock& clock, core::duration length) -> void
{
    auto mutex = std::mutex();
    auto condition = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    clock.wait_until(lock, condition, clock.now() + length,
                     [] { return false; });
}

/// \return When the node had the revision in force.
auto wait_for_revision(const core::runtime_clock& clock,
                       const std::string& address, std::uint64_t revision)
    -> core::time_point
{
    const auto deadline = clock.now() + patience;
    auto client = httplib::Client("http://" + address);
    client.set_keep_alive(true);
    while (clock.now() < deadline) {
        const auto answer = client.Get("/v1/endpoints");
        if (answer) {
            const auto document = nlohmann::json::parse(answer->body);
            if (document.at("revision").get<std::uint64_t>() >= revision) {
                return clock.now();
            }
        }
        pause(clock, poll_pause);
    }
    return core::time_point::max();
}

auto milliseconds_of(core::duration length) -> double
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    if (arguments.size() < 2) {
        std::cerr << "usage: propagation PLATFORM NODE...\n";
        return 2;
    }
    auto clock = core::runtime_clock();
    auto store = platform::http_object_store(arguments[0]);
    auto publisher = fleet::config_publisher(store, clock, core::system_seed());
    const auto tree =
        settings::declaration_tree::parse(R"({"zones":{"z0":{}}})");
    publisher.publish(tree.value(), {"bench", "zones"}, std::nullopt);
    auto delays = std::vector<double>();
    for (auto change = 0; change < changes; ++change) {
        const auto state = change % 2 == 0 ? settings::zone_state::out
                                           : settings::zone_state::in;
        const auto outcome = publisher.set_zone_state(core::zone_name("z0"),
                                                      state, {"bench", "zone"});
        const auto accepted = clock.now();
        auto seen = std::vector<core::time_point>(arguments.size() - 1);
        auto threads = std::vector<std::thread>();
        for (auto node = std::size_t(0); node < seen.size(); ++node) {
            threads.emplace_back([&, node] {
                seen[node] = wait_for_revision(clock, arguments[node + 1],
                                               outcome.revision);
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        for (const auto when : seen) {
            delays.push_back(milliseconds_of(when - accepted));
        }
    }
    std::sort(delays.begin(), delays.end());
    const auto last = double(delays.size() - 1);
    std::cout << nlohmann::json{{"nodes", arguments.size() - 1},
                                {"changes", changes},
                                {"median_ms", delays[delays.size() / 2]},
                                {"p99_ms",
                                 delays[std::size_t(last * percentile)]},
                                {"max_ms", delays.back()}}
              << "\n";
    return 0;
}
