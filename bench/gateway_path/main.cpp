// What a node of almondtiller_gateway adds to a direct call, how many events
// it relays, and what it takes for open streams and when idle. One node, a
// store and an upstream of our own, all on loopback, in one run.

#include "gateway_world/world.h"
#include "harness/process.h"
#include "http1/client_pool.h"
#include "instant_upstream.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace almondtiller;

constexpr auto calls = 4000;
constexpr auto warm_calls = 200;
constexpr auto relay_events = 60000;
constexpr auto relay_streams = 4;
constexpr auto open_streams = 400;
constexpr auto idle_time = core::milliseconds(10000);
/// Within the route's time of three seconds.
constexpr auto hold_time = core::milliseconds(1500);

/// The node's stated targets.
constexpr auto median_target_ms = 0.5;
constexpr auto tail_target_ms = 3.0;
constexpr auto relay_target = 50000.0;
constexpr auto memory_target_mb = 40.0;
constexpr auto idle_target = 0.005;

struct outcome
{
    int status = 0;
    std::uint64_t bytes = 0;
    bool is_done = false;
    bool is_whole = false;
};

class measurement
{
public:
    measurement()
        : folder(std::filesystem::temp_directory_path() /
                 ("gateway_path-" + std::to_string(getpid()))),
          pool(this->world.loop),
          upstream(this->world.loop)
    {
        std::filesystem::create_directories(this->folder);
        for (const auto* service : {"desk", "model"}) {
            for (const auto* suffix :
                 {"-a", "-b", "1-a", "1-b", "2-a", "2-b"}) {
                const auto id = std::string(service) + suffix;
                if (this->world.upstreams.contains(id)) {
                    this->world.crash_upstream(id);
                }
            }
            this->world.store.put(
                "servers", service,
                {{"service", service},
                 {"address", core::to_text(this->upstream.address())},
                 {"zone", "a"},
                 {"version", "v1"},
                 {"slots", 1000},
                 {"state", "ready"},
                 {"coldLeftMs", 0},
                 {"seq", 1000}});
        }
        this->settings =
            gateway_world::make_settings("n", "a", this->world.store.address());
        const auto path = (this->folder / "n.toml").string();
        std::ofstream(path) << gateway_world::settings_text(this->settings);
        this->node.emplace("almondtiller_gateway",
                           std::vector<std::string>{path},
                           (this->folder / "n.log").string());
    }
    ~measurement()
    {
        this->node.reset();
        std::filesystem::remove_all(this->folder);
    }
    measurement(const measurement&) = delete;
    auto operator=(const measurement&) -> measurement& = delete;

    auto start(const core::endpoint& to, const std::string& target)
        -> std::shared_ptr<outcome>
    {
        auto request = http1::request_message();
        request.method = target.starts_with("/read/") ? "GET" : "POST";
        request.target = target;
        request.headers = {
            {"Host", "api.example"},
            {"X-Almondtiller-Request-Id", "r" + std::to_string(++this->last)},
            {"X-Almondtiller-Deadline-Ms", "3000"},
            {"X-Almondtiller-Model", "m"},
            {"X-Almondtiller-Token-Counts", "10,2"},
            {"X-Almondtiller-Prompt-Prefix", "5c:10"},
            {"Authorization", "Bearer key"}};
        auto result = std::make_shared<outcome>();
        auto hooks = http1::pool_hooks();
        hooks.on_head = [result](const http1::response_head& head) {
            result->status = head.status;
        };
        hooks.on_body = [result](std::string_view bytes) {
            result->bytes += bytes.size();
        };
        hooks.on_done = [result](std::error_code error, bool) {
            result->is_done = true;
            result->is_whole = !error;
        };
        this->pool.call({core::to_text(to), to}, http1::serialize(request), {},
                        std::move(hooks));
        return result;
    }

    /// \return Whether all were served.
    auto wait(const std::vector<std::shared_ptr<outcome>>& results) -> bool
    {
        const auto is_over = this->world.run_until([&results]() {
            return std::all_of(
                results.begin(), results.end(),
                [](const auto& result) { return result->is_done; });
        });
        constexpr auto ok_status = 200;
        return is_over && std::all_of(results.begin(), results.end(),
                                      [](const auto& result) {
                                          return result->is_whole &&
                                                 result->status == ok_status;
                                      });
    }

    auto wait_served() -> bool
    {
        constexpr auto attempts = 400;
        for (auto attempt = 0; attempt < attempts; ++attempt) {
            if (this->wait({this->start(this->settings.front, "/read/x")})) {
                return true;
            }
            this->world.run_for(core::milliseconds(25));
        }
        return false;
    }

    gateway_world::world world;
    std::filesystem::path folder;
    http1::client_pool pool;
    gateway_path::instant_upstream upstream;
    serving::node_settings settings;
    std::optional<harness::process> node;
    std::uint64_t last = 0;
};

auto print(const std::string& what, double value, const std::string& unit,
           double target, bool is_kept) -> bool
{
    std::cout << what << ": " << value << ' ' << unit << " (target " << target
              << ", " << (is_kept ? "kept" : "missed") << ")\n";
    return is_kept;
}

auto percentile(std::vector<double> values, double share) -> double
{
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           std::size_t(share * double(values.size())))];
}

/// Direct calls and calls through the node in turn, so that both see the same
/// machine.
auto measure_latency(measurement& run) -> bool
{
    auto direct = std::vector<double>();
    auto through = std::vector<double>();
    const auto time_of = [&run](const core::endpoint& to) {
        const auto begin = run.world.clock.now();
        if (!run.wait({run.start(to, "/read/x")})) {
            std::cout << "a call failed\n";
        }
        return std::chrono::duration<double, std::milli>(run.world.clock.now() -
                                                         begin)
            .count();
    };
    for (auto call = 0; call < warm_calls + calls; ++call) {
        const auto first = time_of(run.upstream.address());
        const auto second = time_of(run.settings.front);
        if (call >= warm_calls) {
            direct.push_back(first);
            through.push_back(second);
        }
    }
    constexpr auto median = 0.5;
    constexpr auto tail = 0.99;
    const auto added_median =
        percentile(through, median) - percentile(direct, median);
    const auto added_tail =
        percentile(through, tail) - percentile(direct, tail);
    std::cout << "direct call: median " << percentile(direct, median)
              << " ms, 99th percentile " << percentile(direct, tail) << " ms\n";
    const auto is_kept =
        print("added at the median", added_median, "ms", median_target_ms,
              added_median <= median_target_ms);
    return print("added at the 99th percentile", added_tail, "ms",
                 tail_target_ms, added_tail <= tail_target_ms) &&
           is_kept;
}

auto measure_relay(measurement& run) -> bool
{
    const auto before = run.node->usage().cpu_seconds;
    const auto begin = run.world.clock.now();
    auto streams = std::vector<std::shared_ptr<outcome>>();
    for (auto stream = 0; stream < relay_streams; ++stream) {
        streams.push_back(
            run.start(run.settings.front,
                      "/stream/relay/" + std::to_string(relay_events)));
    }
    if (!run.wait(streams)) {
        std::cout << "a stream was not relayed whole\n";
        return false;
    }
    const auto events = double(relay_streams) * double(relay_events);
    const auto seconds =
        std::chrono::duration<double>(run.world.clock.now() - begin).count();
    const auto busy = run.node->usage().cpu_seconds - before;
    std::cout << "relayed " << events << " events in " << seconds << " s, "
              << busy << " s of processor time\n";
    const auto rate = events / std::max(busy, 0.01);
    return print("events a second of one core", rate, "", relay_target,
                 rate >= relay_target);
}

auto measure_streams(measurement& run) -> bool
{
    auto streams = std::vector<std::shared_ptr<outcome>>();
    for (auto stream = 0; stream < open_streams; ++stream) {
        streams.push_back(run.start(run.settings.front, "/stream/hold/x"));
    }
    run.world.run_for(hold_time);
    const auto open =
        std::count_if(streams.begin(), streams.end(), [](const auto& stream) {
            return stream->bytes > 0 && !stream->is_done;
        });
    const auto memory = run.node->usage().resident_megabytes;
    run.upstream.release();
    const auto are_whole = run.wait(streams);
    std::cout << open << " streams were open\n";
    return print("memory with these streams", memory, "MB", memory_target_mb,
                 memory < memory_target_mb && open == open_streams &&
                     are_whole);
}

auto measure_idle(measurement& run) -> bool
{
    const auto before = run.node->usage().cpu_seconds;
    run.world.run_for(idle_time);
    const auto share = (run.node->usage().cpu_seconds - before) /
                       std::chrono::duration<double>(idle_time).count();
    return print("share of a core when idle", share, "", idle_target,
                 share < idle_target);
}

} // namespace

auto main() -> int
{
    auto run = measurement();
    if (!run.wait_served()) {
        std::cout << "the node does not serve\n" << run.node->output();
        return 1;
    }
    auto is_kept = measure_idle(run);
    is_kept = measure_latency(run) && is_kept;
    is_kept = measure_relay(run) && is_kept;
    is_kept = measure_streams(run) && is_kept;
    return is_kept ? 0 : 1;
}
