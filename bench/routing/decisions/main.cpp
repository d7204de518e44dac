// Cost of one routing decision (submit and finish) at full size, against
// least in flight and round robin. Usage: routing_bench [decisions]

#include "routing/routing.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <string>

namespace {

using namespace almondtiller;

constexpr auto upstream_count = 1300;
constexpr auto zone_count = 20;
constexpr auto workspace_count = 49000;
constexpr auto kept_in_flight = std::size_t(1000);
constexpr auto nanoseconds = 1e9;

const auto start = core::time_point(std::chrono::hours(1));

struct measured
{
    double ns_per_decision;
    double megabytes;
};

auto names(const char* kind, int count) -> std::vector<std::string>
{
    auto made = std::vector<std::string>();
    for (auto index = 0; index < count; ++index) {
        made.push_back(kind + std::to_string(index));
    }
    return made;
}

auto allocated() -> double
{
    constexpr auto megabyte = 1048576.0;
    return double(mallinfo2().uordblks) / megabyte;
}

/// Times a step that decides once.
auto measure(int decisions, const std::function<void(int)>& decide) -> measured
{
    const auto before = allocated();
    const auto began = std::chrono::steady_clock::now();
    for (auto index = 0; index < decisions; ++index) {
        decide(index);
    }
    const auto took =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began);
    return {took.count() * nanoseconds / decisions, allocated() - before};
}

auto make_pool(std::uint32_t concurrency) -> routing::pool_scheduler
{
    auto settings = settings::pool_settings();
    settings.max_concurrency = concurrency;
    auto pool = routing::pool_scheduler(settings, core::zone_name("zone0"), 1);
    auto members = std::vector<routing::upstream_member>();
    for (auto index = 0; index < upstream_count; ++index) {
        const auto zone = "zone" + std::to_string(index % zone_count);
        members.push_back({core::upstream_id("u" + std::to_string(index)),
                           core::zone_name(zone), true});
    }
    pool.set_members(members, start);
    for (const auto& member : members) {
        auto report = routing::load_report();
        report.id = member.id;
        report.incarnation = "1";
        pool.report_load(report, start);
    }
    return pool;
}

auto make_work(int index, const std::vector<std::string>& workspaces,
               core::time_point now) -> routing::attempt_request
{
    constexpr auto stride = 7919;
    auto made = routing::attempt_request();
    made.id = core::attempt_id("attempt-" + std::to_string(index));
    made.workspace = core::workspace_name(
        workspaces[std::size_t(index) * stride % workspaces.size()]);
    made.deadline = now + std::chrono::seconds(3);
    return made;
}

/// \param concurrency Largest limit of an upstream.
/// \param kept Attempts in flight from which on each decision ends one.
auto measure_scheduler(int decisions, std::uint32_t concurrency,
                       std::size_t kept, bool prefix) -> measured
{
    const auto workspaces = names("workspace-", workspace_count);
    const auto before = allocated();
    auto pool = make_pool(concurrency);
    auto running = std::deque<routing::dispatch>();
    const auto take = [&running](const routing::actions& taken) {
        for (const auto& item : taken) {
            if (const auto* sent = std::get_if<routing::dispatch>(&item)) {
                running.push_back(*sent);
            }
        }
    };
    auto found = measure(decisions, [&](int index) {
        const auto now = start + std::chrono::microseconds(50) * index;
        auto wanted = make_work(index, workspaces, now);
        if (prefix) {
            wanted.prefix_hash = std::uint64_t(index % 1000);
        }
        take(pool.submit(std::move(wanted), now));
        if (running.size() >= kept) {
            auto result = routing::attempt_result();
            result.id = running.front().id;
            result.upstream = running.front().upstream;
            result.latency = std::chrono::milliseconds(100);
            result.incarnation = "1";
            running.pop_front();
            take(pool.finish(result, now));
        }
    });
    found.megabytes = allocated() - before;
    return found;
}

/// The upstream with the least in flight, by looking at each.
auto measure_least(int decisions) -> measured
{
    const auto upstreams = names("u", upstream_count);
    auto in_flight = std::map<std::string, int>();
    auto running = std::deque<std::string>();
    return measure(decisions, [&](int) {
        const auto* best = &upstreams.front();
        for (const auto& id : upstreams) {
            best = in_flight[id] < in_flight[*best] ? &id : best;
        }
        ++in_flight[*best];
        running.push_back(*best);
        if (running.size() >= kept_in_flight) {
            --in_flight[running.front()];
            running.pop_front();
        }
    });
}

auto measure_round_robin(int decisions) -> measured
{
    const auto upstreams = names("u", upstream_count);
    auto in_flight = std::map<std::string, int>();
    auto running = std::deque<std::string>();
    return measure(decisions, [&](int index) {
        const auto& next = upstreams[std::size_t(index) % upstreams.size()];
        ++in_flight[next];
        running.push_back(next);
        if (running.size() >= kept_in_flight) {
            --in_flight[running.front()];
            running.pop_front();
        }
    });
}

auto print(const char* name, const measured& found, const measured& least,
           const measured& robin) -> void
{
    std::printf("%-34s %10.0f %8.2f %12.2f %12.2f\n", name,
                found.ns_per_decision, found.megabytes,
                found.ns_per_decision / least.ns_per_decision,
                found.ns_per_decision / robin.ns_per_decision);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    constexpr auto usual_decisions = 200000;
    const auto decisions = argc > 1 ? std::atoi(argv[1]) : usual_decisions;
    const auto least = measure_least(decisions / 20);
    const auto robin = measure_round_robin(decisions);
    std::printf("%-34s %10s %8s %12s %12s\n", "decider", "ns", "MB", "x least",
                "x robin");
    print("least in flight", least, least, robin);
    print("round robin", robin, least, robin);
    const auto usual = kept_in_flight;
    print("pool_scheduler", measure_scheduler(decisions, 64, usual, false),
          least, robin);
    print("pool_scheduler, prefix affinity",
          measure_scheduler(decisions, 64, usual, true), least, robin);
    print("pool_scheduler, local zone full",
          measure_scheduler(decisions, 1, usual, false), least, robin);
    print("pool_scheduler, full queue",
          measure_scheduler(decisions, 1, upstream_count, false), least, robin);
    return 0;
}
