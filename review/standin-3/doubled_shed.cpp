#include "cases.h"

#include <algorithm>
#include <random>

namespace review {

namespace {

constexpr auto clients_per_node = 10;
constexpr auto work_time = ms(60);
/// The dose of `srv_grey` with "shed" on one engine of three.
constexpr auto shed_share = 0.4;
/// The largest dose of `garble` with "extra late" in the site file.
constexpr auto doubled_answers = 0.03;
constexpr auto garble_time = ms(5000);
constexpr auto cycle_time = ms(6000);
constexpr auto cycles = 14;

struct shared_state
{
    std::mutex guard;
    std::map<std::string, int> runs;
    std::mt19937_64 random{1};
    bool is_garbling = false;
    int copies = 0;

    auto happens(double share) -> bool
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < share;
    }
};

} // namespace

/// An engine that is full turns requests away, as the pages' example shows it,
/// and sends some of these answers a second time, late.
auto run_doubled_shed(record& log, bool has_trouble) -> outcome
{
    const auto folder = temporary_folder();
    auto platform = store();
    auto state = shared_state();
    const auto hook = [&](engine& self, connection& caller,
                          const message& request) {
        const auto id = request.find("X-Almondtiller-Request-Id");
        if (!caller.kept.empty()) {
            log.write("engine " + self.id() +
                      " sends the 503 before a second time, as the answer to " +
                      id);
            caller.send(std::exchange(caller.kept, {}));
        } else if (self.id() == "i-desk-a") {
            const auto lock = std::lock_guard(state.guard);
            if (state.happens(shed_share)) {
                const auto answer = encode_answer(
                    503, {{"X-Almondtiller-Not-Run", "1"}}, "");
                log.write("engine " + self.id() + " turns " + id + " away");
                caller.send(answer);
                if (state.is_garbling && state.happens(doubled_answers)) {
                    caller.kept = answer;
                    ++state.copies;
                }
                return true;
            }
        }
        const auto lock = std::lock_guard(state.guard);
        ++state.runs[id];
        log.write("engine " + self.id() + " runs " + id);
        return false;
    };
    auto engines = std::vector<std::unique_ptr<engine>>();
    for (const auto* zone : {"a", "b", "c"}) {
        engines.push_back(std::make_unique<engine>(
            log, std::string("i-desk-") + zone, "desk", zone, hook));
        engines.back()->set_work_time(work_time);
        platform.put("servers", engines.back()->id(),
                     engines.back()->entry("ready", 1, 1700000000000));
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
    auto refused = std::set<std::string>();
    auto clients = std::vector<std::thread>();
    for (auto index = 0; index < clients_per_node * 3; ++index) {
        clients.emplace_back([&, index]() {
            const auto& target = *nodes[std::size_t(index) % nodes.size()];
            while (!is_over) {
                auto caller = connection::open(target.front());
                while (caller && !is_over && !caller->is_ended()) {
                    const auto id = next_id();
                    auto headers = client_headers(id, 3000);
                    headers.emplace_back("Content-Length", "5");
                    log.write("client sends " + id);
                    caller->send(
                        encode("POST /book/x HTTP/1.1", headers, "order"));
                    const auto answer = caller->read_answer();
                    log.write("client gets " +
                              (answer ? std::to_string(answer->status())
                                      : std::string("no whole answer")) +
                              " for " + id);
                    if (!answer) {
                        break;
                    }
                    served += answer->status() == 200 ? 1 : 0;
                    if (answer->status() == 503) {
                        const auto lock = std::lock_guard(state.guard);
                        refused.insert(id);
                    }
                    sleep_for(ms(150));
                }
            }
        });
    }
    const auto start = clock::now();
    while (clock::now() < start + cycles * cycle_time) {
        {
            const auto lock = std::lock_guard(state.guard);
            state.is_garbling = has_trouble && (clock::now() - start) %
                                                       cycle_time <
                                                   garble_time;
        }
        sleep_for(ms(20));
    }
    is_over = true;
    for (auto& client : clients) {
        client.join();
    }
    nodes.clear();
    engines.clear();
    platform.stop();
    auto twice = 0;
    auto run_though_refused = 0;
    for (const auto& [id, count] : state.runs) {
        if (count > 1) {
            ++twice;
            log.write("TWICE: " + id + " ran " + std::to_string(count) +
                      " times");
        }
        if (refused.contains(id)) {
            ++run_though_refused;
            log.write("REFUSED: " + id + " was answered 503 and ran");
        }
    }
    log.write(std::to_string(served) + " requests served; " +
              std::to_string(state.copies) + " answers sent twice; " +
              std::to_string(twice) + " requests ran twice, " +
              std::to_string(run_though_refused) +
              " ran though they were refused");
    if (served == 0) {
        return outcome::could_not_run;
    }
    return twice + run_though_refused > 0 ? outcome::broken : outcome::held;
}

} // namespace review
