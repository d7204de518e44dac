/// Another writer puts one entry among those of the engines. One of its fields
/// is a deeply nested list instead of a text.

#include "standin.h"

namespace {

using namespace review;

constexpr auto run_ms = 25000L;
constexpr auto restart_ms = 500;
/// The entry takes 0.6 MB; the store accepts 1,048,576 bytes.
constexpr auto depth = 300000;

auto make_entry() -> std::string
{
    return R"({"service":)" + std::string(depth, '[') +
           std::string(depth, ']') +
           R"(,"address":"127.0.0.1:9","zone":"z-a","slots":1,)"
           R"("state":"ready","coldLeftMs":0,"seq":1})";
}

[[noreturn]] auto play(const std::string& record_path) -> void
{
    auto record = recorder(record_path);
    const auto folder = make_folder();
    const auto network = free_network();
    auto platform = store("127.0.0.1");
    auto runs = run_log();
    platform.put("config", "main",
                 make_config(1,
                             {make_route("orders", "/orders/", "non_idempotent",
                                         "desk", 4000, 1)},
                             {{{"name", "desk"},
                               {"healthPath", "/healthz"},
                               {"maxConns", 96},
                               {"coldStartS", 0.0},
                               {"coldPerS", 0.0}}},
                             json::array()));
    auto engines = std::vector<std::unique_ptr<engine>>();
    constexpr auto slots = 6;
    constexpr auto work_ms = 200;
    for (const auto* zone : {"z-a", "z-b", "z-c"}) {
        engines.push_back(std::make_unique<engine>(
            platform, runs, "desk", zone, "127.0.0.1", slots, work_ms));
    }
    auto nodes = start_nodes(network, platform.address(), folder);
    if (!are_ready(nodes, 10000)) {
        record.say("the nodes did not become ready");
        leave(2, folder, nodes);
    }
    auto is_over = std::atomic<bool>(false);
    auto mutex = std::mutex();
    auto outcomes = std::vector<outcome>();
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < 9; ++caller) {
        callers.emplace_back([&, caller]() {
            while (!is_over) {
                const auto got = ask(*nodes[std::size_t(caller) % nodes.size()],
                                     "POST", "/orders/1", 4000, "", "an order");
                {
                    const auto lock = std::lock_guard(mutex);
                    outcomes.push_back(got);
                }
                record.write("request " + got.request + " sent at " +
                             std::to_string(got.sent_ms) + " status " +
                             std::to_string(got.status));
                sleep_ms(100);
            }
        });
    }
    sleep_ms(3000);
    const auto written_at = now_ms();
    if (has_trouble()) {
        platform.put_raw("servers", "i-other", make_entry());
        record.say("the entry is written, " +
                   std::to_string(make_entry().size()) + " bytes");
    }
    auto ends = std::vector<int>(nodes.size());
    auto restart_at = std::vector<long>(nodes.size());
    const auto end = now_ms() + run_ms;
    while (now_ms() < end) {
        for (auto index = std::size_t(0); index < nodes.size(); ++index) {
            auto status = 0;
            if (restart_at[index] != 0 && now_ms() >= restart_at[index]) {
                restart_at[index] = 0;
                nodes[index]->start();
            } else if (restart_at[index] == 0 &&
                       nodes[index]->has_ended(status)) {
                ++ends[index];
                restart_at[index] = now_ms() + restart_ms;
                record.say(
                    nodes[index]->name + " ends at " +
                    std::to_string(now_ms()) + " ms, signal " +
                    std::to_string(WIFSIGNALED(status) ? WTERMSIG(status) : 0));
            }
        }
        sleep_ms(10);
    }
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    auto run_ids = std::set<std::string>();
    for (const auto& item : runs.all()) {
        run_ids.insert(item.request);
        record.write("engine " + item.engine + " ran " + item.request);
    }
    auto served = 0;
    auto later = 0;
    auto lost = 0;
    for (const auto& got : outcomes) {
        const auto is_later = got.sent_ms > written_at;
        later += is_later ? 1 : 0;
        served += is_later && got.status == 200 ? 1 : 0;
        lost += got.status == 0 && run_ids.contains(got.request) ? 1 : 0;
    }
    auto machines = 0;
    for (auto index = std::size_t(0); index < nodes.size(); ++index) {
        record.say(nodes[index]->name + " ended " +
                   std::to_string(ends[index]) + " times");
        machines += ends[index] >= 3 ? 1 : 0;
    }
    record.say("of " + std::to_string(later) +
               " orders sent after the entry was written " +
               std::to_string(served) + " were served; " +
               std::to_string(lost) + " were run and never answered");
    leave(machines >= 2 ? 1 : 0, folder, nodes);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        return 2;
    }
    play(argv[1]);
}
