#include "cases.h"

namespace review {

/// Clients send HEAD on a route of streams and keep their connection.
auto run_head_request(record& log, bool has_trouble) -> outcome
{
    constexpr auto requests = 20;

    const auto folder = temporary_folder();
    auto platform = store();
    auto engines = std::vector<std::unique_ptr<engine>>();
    for (const auto* zone : {"a", "b"}) {
        engines.push_back(std::make_unique<engine>(
            log, std::string("i-model-") + zone, "model", zone));
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
    auto whole = 0;
    auto spoilt = 0;
    for (auto round = 0; round < requests; ++round) {
        const auto& target = *nodes[std::size_t(round) % nodes.size()];
        auto caller = connection::open(target.front());
        if (!caller) {
            return outcome::could_not_run;
        }
        const auto send = [&](const std::string& method) {
            auto id = next_id();
            auto headers = client_headers(id, 3000);
            headers.insert(headers.end(),
                           {{"X-Almondtiller-Model", "m"},
                            {"X-Almondtiller-Token-Counts", "200,20"},
                            {"X-Almondtiller-Prompt-Prefix",
                             "5c1e07a2:100," + id + ":40"}});
            if (method == "POST") {
                headers.emplace_back("Content-Length", "0");
            }
            const auto start = method + " /stream/x HTTP/1.1";
            auto line = std::string("client sends ");
            line += id;
            line += ": ";
            line += start;
            log.write(line);
            caller->send(encode(start, headers, ""));
            return id;
        };
        const auto first = has_trouble ? "HEAD" : "POST";
        const auto first_id = send(first);
        const auto first_answer = caller->read_answer(!has_trouble);
        log.write("client gets " +
                  (first_answer ? std::to_string(first_answer->status())
                                : std::string("no whole answer")) +
                  " for " + first_id);
        if (!first_answer || first_answer->status() != 200) {
            continue;
        }
        const auto second_id = send("POST");
        const auto second_answer = caller->read_answer();
        if (second_answer && second_answer->status() == 200 &&
            second_answer->body == expected_events(second_id)) {
            ++whole;
            log.write("client gets 200 for " + second_id);
        } else if (!second_answer && !caller->rest().empty()) {
            ++spoilt;
            log.write("MIXED: where the answer to " + second_id +
                      " is due, the client gets " +
                      caller->rest().substr(0, 40));
        }
    }
    log.write(std::to_string(whole) + " second answers whole, " +
              std::to_string(spoilt) + " begin with bytes of no answer");
    nodes.clear();
    engines.clear();
    platform.stop();
    if (whole + spoilt == 0) {
        return outcome::could_not_run;
    }
    return spoilt > 0 ? outcome::broken : outcome::held;
}

} // namespace review
