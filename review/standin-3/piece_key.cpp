#include "cases.h"

namespace review {

namespace {

/// A client that stays with one node and sends ordinary requests.
auto send_ordinary(record& log, const node& target, std::atomic<bool>& is_over,
                   std::atomic<int>& served, std::atomic<int>& lost) -> void
{
    while (!is_over) {
        auto caller = connection::open(target.front(), ms(300));
        if (!caller) {
            sleep_for(ms(100));
            continue;
        }
        while (!is_over) {
            const auto id = next_id();
            auto headers = client_headers(id, 3000);
            for (const auto& field : staged_headers(id, "7c1e07a291bd")) {
                headers.push_back(field);
            }
            headers.emplace_back("Content-Length", "0");
            log.write("client sends " + id + " to " + target.name());
            caller->send(
                encode("POST /staged/x HTTP/1.1", headers, ""));
            const auto answer = caller->read_answer();
            if (!answer) {
                log.write("client gets no whole answer to " + id);
                ++lost;
                break;
            }
            log.write("client gets " + std::to_string(answer->status()) +
                      " for " + id);
            served += answer->status() == 200 ? 1 : 0;
            sleep_for(ms(100));
        }
    }
}

} // namespace

/// A client's piece key has a byte that is no ASCII. The rule is that of
/// processes that end by themselves: three times in the day, on a tenth of the
/// machines and two at least.
auto run_piece_key(record& log, bool has_trouble) -> outcome
{
    constexpr auto rounds = 9;
    constexpr auto round_time = ms(4000);
    constexpr auto restart_delay = ms(500);
    constexpr auto ends_of_rule = 3;
    constexpr auto machines_of_rule = 2;

    const auto folder = temporary_folder();
    auto platform = store();
    auto engines = std::vector<std::unique_ptr<engine>>();
    for (const auto* zone : {"a", "b"}) {
        for (const auto* service : {"feed", "model", "desk"}) {
            engines.push_back(std::make_unique<engine>(
                log, std::string("i-") + service + "-" + zone, service, zone));
            platform.put("servers", engines.back()->id(),
                         engines.back()->entry("ready", 1, 1700000000000));
        }
    }
    platform.put("config", "main", make_configuration(1));
    auto nodes = std::vector<std::unique_ptr<node>>();
    for (const auto* zone : {"a", "b", "c"}) {
        nodes.push_back(std::make_unique<node>(log, folder.path(),
                                               std::string("node-") + zone,
                                               zone, platform.port()));
        nodes.back()->start();
    }
    for (const auto& each : nodes) {
        if (!each->wait_ready()) {
            return outcome::could_not_run;
        }
    }
    sleep_for(ms(1000));

    auto is_over = std::atomic<bool>(false);
    auto served = std::atomic<int>(0);
    auto lost = std::atomic<int>(0);
    auto ordinary = std::vector<std::thread>();
    for (const auto& each : nodes) {
        ordinary.emplace_back([&, target = each.get()]() {
            send_ordinary(log, *target, is_over, served, lost);
        });
    }
    auto ends = std::map<std::string, int>();
    const auto key =
        has_trouble ? std::string("caf\xe9") : std::string("cafe");
    for (auto round = 0; round < rounds; ++round) {
        const auto& target = *nodes[std::size_t(round) % nodes.size()];
        const auto id = next_id();
        auto headers = client_headers(id, 3000);
        for (const auto& field : staged_headers(id, key)) {
            headers.push_back(field);
        }
        headers.emplace_back("Content-Length", "0");
        if (auto caller = connection::open(target.front())) {
            log.write("client with key " + key + " sends " + id + " to " +
                      target.name());
            caller->send(encode("POST /staged/x HTTP/1.1", headers, ""));
            const auto answer = caller->read_answer();
            log.write("client with key " + key + " gets " +
                      (answer ? std::to_string(answer->status())
                              : std::string("no whole answer")) +
                      " for " + id);
        }
        // The platform starts again what has ended.
        const auto end = clock::now() + round_time;
        while (clock::now() < end) {
            for (const auto& each : nodes) {
                if (each->ended()) {
                    ++ends[each->name()];
                    sleep_for(restart_delay);
                    each->start();
                }
            }
            sleep_for(ms(50));
        }
    }
    is_over = true;
    for (auto& thread : ordinary) {
        thread.join();
    }
    auto machines = 0;
    for (const auto& [name, count] : ends) {
        log.write("node " + name + " ended by itself " +
                  std::to_string(count) + " times");
        machines += count >= ends_of_rule ? 1 : 0;
    }
    log.write("ordinary clients: " + std::to_string(served) + " served, " +
              std::to_string(lost) + " connections ended without an answer");
    nodes.clear();
    engines.clear();
    platform.stop();
    if (served == 0) {
        return outcome::could_not_run;
    }
    return machines >= machines_of_rule ? outcome::broken : outcome::held;
}

} // namespace review
