/// A node is stopped and started again. The removal of its registration is
/// executed late, after the new process has registered.

#include "standin.h"

namespace {

using namespace review;

constexpr auto removal_delay_ms = 5500;
constexpr auto restart_ms = 500;
constexpr auto cold_ms = 3000;
/// Time in which the nodes learn that an engine is cold.
constexpr auto notice_ms = 500;
constexpr auto cold_per_s = 24.0;
/// coldPerS x coldOverrun + coldSlack.
constexpr auto max_in_a_second = 41;

auto directory_answer(const node& asked) -> std::string
{
    const auto peer = dial(asked.ip, node::directory_port, 1000);
    if (!peer ||
        !peer->write("GET /almondtiller/resolve?name=shop.example&region=r"
                     "&zone=z-a HTTP/1.1\r\nHost: x\r\n\r\n")) {
        return "none";
    }
    const auto answer = peer->read(steady::now() + milliseconds(1000));
    return answer ? answer->body : "none";
}

/// \return The largest number of requests that were sent by callers and arrived
///         at the cold engine inside one second.
auto load_cold_engine(const std::vector<std::unique_ptr<node>>& nodes,
                      engine& target, const std::string& service, run_log& runs,
                      recorder& record) -> int
{
    auto is_over = std::atomic<bool>(false);
    auto mutex = std::mutex();
    auto sent_at = std::map<std::string, long>();
    auto callers = std::vector<std::thread>();
    // Half of the callers use the node that was restarted: 23 requests a second
    // come there, and 23 to the others together.
    constexpr auto caller_count = 46;
    constexpr auto interval_ms = 2000;
    for (auto caller = 0; caller < 2 * caller_count; ++caller) {
        callers.emplace_back([&, caller]() {
            const auto index = caller % 2 == 0
                                   ? std::size_t(0)
                                   : std::size_t(1 + caller / 2 % 2);
            auto next = steady::now() +
                        milliseconds(interval_ms * caller / (2 * caller_count));
            while (!is_over) {
                std::this_thread::sleep_until(next);
                next += milliseconds(interval_ms);
                const auto got =
                    ask(*nodes[index], "POST", "/" + service + "/1", 4000, "",
                        "an order");
                record.write("request " + got.request + " sent at " +
                             std::to_string(got.sent_ms) + " status " +
                             std::to_string(got.status));
                const auto lock = std::lock_guard(mutex);
                sent_at[got.request] = got.sent_ms;
            }
        });
    }
    constexpr auto warm_ms = 2500;
    sleep_ms(warm_ms);
    target.become_cold(cold_ms);
    const auto cold_at = now_ms();
    sleep_ms(cold_ms);
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    auto arrivals = std::vector<std::pair<long, long>>();
    for (const auto& item : runs.all()) {
        if (item.engine == target.id &&
            item.arrived_ms >= cold_at + notice_ms &&
            item.arrived_ms < cold_at + cold_ms) {
            arrivals.emplace_back(sent_at[item.request], item.arrived_ms);
            record.write("cold engine " + item.engine + " ran " + item.request +
                         " at " + std::to_string(item.arrived_ms));
        }
    }
    auto most = 0L;
    constexpr auto second_ms = 1000;
    for (const auto& [from, ignored] : arrivals) {
        most = std::max(
            most, long(std::count_if(arrivals.begin(), arrivals.end(),
                                     [start = from](const auto& item) {
                                         return item.first >= start &&
                                                item.second < start + second_ms;
                                     })));
    }
    return int(most);
}

[[noreturn]] auto play(const std::string& record_path) -> void
{
    auto record = recorder(record_path);
    const auto folder = make_folder();
    const auto network = free_network();
    auto platform = store("127.0.0.1");
    auto runs = run_log();
    auto services = json::array();
    auto routes = json::array();
    auto engines = std::map<std::string, std::unique_ptr<engine>>();
    constexpr auto slots = 16;
    constexpr auto work_ms = 60;
    // Each service has an owner of its own among the nodes.
    for (const auto* name :
         {"desk-a", "desk-b", "desk-c", "desk-d", "desk-e", "desk-f"}) {
        services.push_back({{"name", name},
                            {"healthPath", "/healthz"},
                            {"maxConns", 96},
                            {"coldStartS", cold_ms / 1000.0},
                            {"coldPerS", cold_per_s}});
        routes.push_back(make_route(name, "/" + std::string(name) + "/",
                                    "non_idempotent", name, 4000, 1));
        engines[name] = std::make_unique<engine>(platform, runs, name, "z-a",
                                                 "127.0.0.1", slots, work_ms);
    }
    platform.put("config", "main",
                 make_config(1, routes, services, json::array()));
    auto nodes = start_nodes(network, platform.address(), folder);
    if (!are_ready(nodes, 10000)) {
        record.say("the nodes did not become ready");
        leave(2, folder, nodes);
    }
    auto& restarted = *nodes[0];
    platform.set_removal_delay(has_trouble() ? removal_delay_ms : 0);
    const auto stopped_at = now_ms();
    restarted.signal(SIGTERM);
    auto status = 0;
    if (!wait_until([&]() { return restarted.has_ended(status); }, 8500)) {
        record.say("the node did not end");
        leave(2, folder, nodes);
    }
    sleep_ms(restart_ms);
    restarted.start();
    wait_until([&]() { return restarted.is_ready(); }, 5000);
    record.say(restarted.name + " ready again " +
               std::to_string(now_ms() - stopped_at) + " ms after SIGTERM");
    platform.set_removal_delay(0);
    // The disruption is over and the store stable for contactMs.
    constexpr auto settle_ms = 12000;
    sleep_ms(settle_ms);
    record.say(std::string("its registration is ") +
               (platform.has("almondtiller-nodes", restarted.name)
                    ? "in the store"
                    : "gone"));
    for (const auto& one : nodes) {
        record.say("directory of " + one->name + ": " + directory_answer(*one));
    }
    auto broken = 0;
    for (const auto& [name, target] : engines) {
        const auto most = load_cold_engine(nodes, *target, name, runs, record);
        broken += most > max_in_a_second ? 1 : 0;
        record.say("cold engine of " + name + ": " + std::to_string(most) +
                   " requests in one second, bound " +
                   std::to_string(max_in_a_second));
    }
    leave(broken > 0 ? 1 : 0, folder, nodes);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        return 2;
    }
    play(argv[1]);
}
