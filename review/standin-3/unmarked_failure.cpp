#include "cases.h"

#include <random>

namespace review {

namespace {

/// One engine of eight and 0.4 of its requests: the site file names a share of
/// 0.14 and 0.45 for `srv_grey`.
constexpr auto engine_count = 8;
constexpr auto failing_share = 0.4;
constexpr auto orders = 240;
constexpr auto deadline_ms = 3000;
constexpr auto unavailable = 503;

/// \return The status of the answer; 0 if there is none.
auto place_order(record& log, const node& target, const std::string& id,
                 const std::string& order) -> int
{
    const auto caller = connection::open(target.front());
    if (!caller) {
        return 0;
    }
    auto headers = client_headers(id, deadline_ms);
    headers.emplace_back("Content-Length", std::to_string(order.size()));
    log.write("client sends " + id + " with " + order);
    caller->send(encode("POST /book/x HTTP/1.1", headers, order));
    const auto answer = caller->read_answer();
    const auto status = answer ? answer->status() : 0;
    log.write("client gets " + std::to_string(status) + " for " + id +
              (answer && answer->has("X-Almondtiller-Not-Run")
                   ? " with X-Almondtiller-Not-Run"
                   : ""));
    return status;
}

} // namespace

/// An engine fails a part of the orders after it has run them. Its failure
/// doesn't say that the order has not run.
auto run_unmarked_failure(record& log, bool has_trouble) -> outcome
{
    const auto folder = temporary_folder();
    auto platform = store();
    auto guard = std::mutex();
    auto runs = std::map<std::string, int>();
    auto runs_of_order = std::map<std::string, int>();
    auto random = std::mt19937_64(1);
    const auto hook = [&](engine& self, connection& caller,
                          const message& request) {
        const auto id = request.find("X-Almondtiller-Request-Id");
        const auto lock = std::lock_guard(guard);
        ++runs[id];
        ++runs_of_order[request.body];
        log.write("engine " + self.id() + " runs " + id + " with " +
                  request.body);
        const auto fails =
            has_trouble && self.id() == "i-desk-a" &&
            std::uniform_real_distribution<>(0, 1)(random) < failing_share;
        if (fails) {
            log.write("engine " + self.id() + " fails " + id + " with 503");
            caller.send(encode_answer(unavailable, self.answer_headers(request),
                                      "failed"));
        }
        return fails;
    };
    auto engines = std::vector<std::unique_ptr<engine>>();
    for (auto index = 0; index < engine_count; ++index) {
        const auto letter = std::string(1, char('a' + index));
        const auto zone = std::string(1, char('a' + index % 3));
        engines.push_back(std::make_unique<engine>(log, "i-desk-" + letter,
                                                   "desk", zone, hook));
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
    auto served = 0;
    auto refused_and_ran = 0;
    for (auto number = 0; number < orders; ++number) {
        const auto& target = *nodes[std::size_t(number) % nodes.size()];
        const auto order = "order " + std::to_string(number);
        // Clients repeat such a request only after a promise.
        for (auto attempt = 0; attempt < 2; ++attempt) {
            const auto id = next_id();
            const auto status = place_order(log, target, id, order);
            served += status == 200 ? 1 : 0;
            const auto lock = std::lock_guard(guard);
            if (status == unavailable && runs[id] > 0) {
                ++refused_and_ran;
                log.write("REFUSED: " + id + " was answered 503 and has run");
            }
            if (status != unavailable) {
                break;
            }
        }
    }
    nodes.clear();
    engines.clear();
    platform.stop();
    auto doubled = 0;
    for (const auto& [order, count] : runs_of_order) {
        doubled += count > 1 ? 1 : 0;
    }
    log.write(std::to_string(served) + " orders served, " +
              std::to_string(refused_and_ran) +
              " attempts answered 503 that had run, " +
              std::to_string(doubled) +
              " orders ran again as the client repeated them");
    if (served == 0) {
        return outcome::could_not_run;
    }
    return refused_and_ran > 0 ? outcome::broken : outcome::held;
}

} // namespace review
