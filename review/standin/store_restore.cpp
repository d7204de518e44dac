/// The store comes back from a copy some seconds old. Once it is stable, an
/// engine reports that it leaves, and the operator revokes a key.

#include "standin.h"

namespace {

using namespace review;

constexpr auto copy_age_ms = 10000;
constexpr auto away_ms = 1000;
constexpr auto contact_ms = 3000;
constexpr auto drain_ms = 2000;
constexpr auto config_apply_ms = 2000;
constexpr auto slack_ms = 300;

auto make_tenants(bool has_second_key) -> json
{
    auto keys = json::array({"key-one"});
    if (has_second_key) {
        keys.push_back("key-two");
    }
    return {{{"name", "tenant"}, {"apiKeys", keys}, {"priority", 1}}};
}

auto make_version(long version, bool has_second_key) -> json
{
    return make_config(
        version,
        {make_route("orders", "/orders/", "non_idempotent", "desk", 4000, 1)},
        {{{"name", "desk"},
          {"healthPath", "/healthz"},
          {"maxConns", 96},
          {"coldStartS", 0.0},
          {"coldPerS", 0.0}}},
        make_tenants(has_second_key));
}

[[noreturn]] auto play(const std::string& record_path) -> void
{
    auto record = recorder(record_path);
    const auto folder = make_folder();
    const auto network = free_network();
    auto platform = store("127.0.0.1");
    auto runs = run_log();
    platform.put("config", "main", make_version(1, true));
    auto engines = std::vector<std::unique_ptr<engine>>();
    for (const auto* zone : {"z-a", "z-b", "z-c", "z-a"}) {
        engines.push_back(std::make_unique<engine>(platform, runs, "desk", zone,
                                                   "127.0.0.1", 6, 300));
    }
    auto nodes = start_nodes(network, platform.address(), folder);
    if (!are_ready(nodes, 10000)) {
        record.say("the nodes did not become ready");
        leave(2, folder, nodes);
    }
    auto is_over = std::atomic<bool>(false);
    auto mutex = std::mutex();
    auto outcomes = std::vector<std::pair<std::string, outcome>>();
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < 9; ++caller) {
        callers.emplace_back([&, caller]() {
            const auto key = std::string(caller < 6 ? "key-one" : "key-two");
            while (!is_over) {
                const auto got =
                    ask(*nodes[std::size_t(caller) % nodes.size()], "POST",
                        "/orders/1", 4000,
                        "Authorization: Bearer " + key + "\r\n", "an order");
                {
                    const auto lock = std::lock_guard(mutex);
                    outcomes.emplace_back(key, got);
                }
                sleep_ms(100);
            }
        });
    }
    platform.keep_copy();
    const auto revision_of_copy = platform.current_revision();
    sleep_ms(copy_age_ms);
    record.say("store at revision " +
               std::to_string(platform.current_revision()));
    if (has_trouble()) {
        platform.set_away(true);
        sleep_ms(away_ms);
        platform.restore();
        platform.set_away(false);
        for (const auto& one : engines) {
            one->beat();
        }
        record.say("store back at revision " +
                   std::to_string(revision_of_copy) + ", now " +
                   std::to_string(platform.current_revision()));
    }
    sleep_ms(contact_ms + slack_ms);
    engines[0]->drain();
    const auto drain_at = now_ms();
    platform.put("config", "main", make_version(2, false));
    const auto config_at = now_ms();
    record.say("engine " + engines[0]->id +
               " drains and key-two is revoked, "
               "acknowledged at " +
               std::to_string(drain_at) + " ms, revision " +
               std::to_string(platform.current_revision()));
    const auto reads_before = platform.read_counts();
    constexpr auto exit_delay_ms = drain_ms + 1000;
    sleep_ms(exit_delay_ms);
    engines[0]->exit();
    const auto exit_at = now_ms();
    record.say("engine " + engines[0]->id + " exits at " +
               std::to_string(exit_at) + " ms");
    const auto reads_after = platform.read_counts();
    constexpr auto rest_ms = 12000;
    sleep_ms(rest_ms);
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    auto sent_at = std::map<std::string, long>();
    auto revoked_served = 0;
    auto last_revoked = 0L;
    auto unanswered = 0;
    for (const auto& [key, got] : outcomes) {
        sent_at[got.request] = got.sent_ms;
        record.write("request " + got.request + " with " + key + " sent at " +
                     std::to_string(got.sent_ms) + " status " +
                     std::to_string(got.status));
        if (key == "key-two" && got.status == 200 &&
            got.sent_ms > config_at + config_apply_ms) {
            ++revoked_served;
            last_revoked = std::max(last_revoked, got.sent_ms - config_at);
        }
        unanswered += got.status != 200 && got.status != 401 &&
                              got.status != 503 && got.sent_ms > drain_at
                          ? 1
                          : 0;
    }
    auto late_arrivals = 0;
    auto last_arrival = 0L;
    for (const auto& item : runs.all()) {
        record.write("engine " + item.engine + " ran " + item.request + " at " +
                     std::to_string(item.arrived_ms));
        if (item.engine == engines[0]->id &&
            sent_at[item.request] > drain_at + drain_ms) {
            ++late_arrivals;
            last_arrival = std::max(last_arrival, item.arrived_ms - drain_at);
        }
    }
    record.say(
        "read calls to the store in 3 s: " +
        std::to_string(reads_after.first - reads_before.first) + " answered, " +
        std::to_string(reads_after.second - reads_before.second) + " refused");
    record.say("DRAIN: " + std::to_string(late_arrivals) +
               " requests sent later than drainMs after the acknowledgement "
               "reached the leaving engine, the last " +
               std::to_string(last_arrival) + " ms after it");
    record.say("CONFIG: " + std::to_string(revoked_served) +
               " requests with the revoked key were served, sent up to " +
               std::to_string(last_revoked) +
               " ms after the acknowledgement (bound " +
               std::to_string(config_apply_ms) + ")");
    record.say(std::to_string(unanswered) +
               " orders were run or passed on and not answered by an engine");
    leave(late_arrivals > 0 || revoked_served > 0 ? 1 : 0, folder, nodes);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        return 2;
    }
    play(argv[1]);
}
