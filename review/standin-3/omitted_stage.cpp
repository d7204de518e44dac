#include "cases.h"

namespace review {

/// Clients omit the first stage of a route and have pieces of the second one,
/// which comes after it.
auto run_omitted_stage(record& log, bool has_trouble) -> outcome
{
    constexpr auto requests = 30;
    const auto client_key = std::string("7c1e07a291bd");

    const auto folder = temporary_folder();
    auto platform = store();
    auto guard = std::mutex();
    auto other_keys = 0;
    auto pieces = 0;
    const auto hook = [&](engine& self, connection&, const message& request) {
        if (request.target() != "/almondtiller/stage-run") {
            return false;
        }
        const auto lock = std::lock_guard(guard);
        const auto parsed = json::parse(request.body, nullptr, false);
        for (const auto& item : parsed.value("items", json::array())) {
            ++pieces;
            log.write("engine " + self.id() + " is asked for " + item.dump());
            if (item.contains("key") &&
                item["key"].get<std::string>() != client_key) {
                ++other_keys;
                log.write("UNASKED: the key of " +
                          item.value("id", std::string()) + " is " +
                          client_key);
            }
        }
        return false;
    };
    auto engines = std::vector<std::unique_ptr<engine>>();
    for (const auto* zone : {"a", "b"}) {
        for (const auto* service : {"feed", "map", "model"}) {
            engines.push_back(std::make_unique<engine>(
                log, std::string("i-") + service + "-" + zone, service, zone,
                hook));
            platform.put("servers", engines.back()->id(),
                         engines.back()->entry("ready", 1, 1700000000000));
        }
    }
    auto config = make_configuration(1);
    for (auto& route : config["routes"]) {
        if (route["name"] == "r-staged") {
            route["stages"].push_back(
                {{"service", "map"}, {"after", {0}}, {"bytes", 60000}});
        }
    }
    auto second = config["services"].back();
    second["name"] = "map";
    config["services"].push_back(second);
    platform.put("config", "main", config);
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
    for (auto round = 0; round < requests; ++round) {
        const auto& target = *nodes[std::size_t(round) % nodes.size()];
        const auto caller = connection::open(target.front());
        if (!caller) {
            return outcome::could_not_run;
        }
        const auto id = next_id();
        auto headers = client_headers(id, 3000);
        headers.insert(
            headers.end(),
            {{"X-Almondtiller-Model", "m"},
             {"X-Almondtiller-Token-Counts", "200,20"},
             {"X-Almondtiller-Prompt-Prefix", "5c1e07a2:100," + id + ":40"},
             {"X-Almondtiller-Pieces", has_trouble ? "0,2" : "1,2"},
             {"X-Almondtiller-Piece-Key", client_key},
             {"Content-Length", "0"}});
        log.write("client sends " + id);
        caller->send(encode("POST /staged/x HTTP/1.1", headers, ""));
        const auto answer = caller->read_answer();
        log.write("client gets " +
                  (answer ? std::to_string(answer->status())
                          : std::string("no whole answer")) +
                  " for " + id);
        served += answer && answer->status() == 200 ? 1 : 0;
    }
    nodes.clear();
    engines.clear();
    platform.stop();
    log.write(std::to_string(served) + " requests served, " +
              std::to_string(pieces) + " pieces asked for, " +
              std::to_string(other_keys) + " with another key");
    if (pieces == 0) {
        return outcome::could_not_run;
    }
    return other_keys > 0 ? outcome::broken : outcome::held;
}

} // namespace review
