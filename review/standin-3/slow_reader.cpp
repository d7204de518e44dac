#include "cases.h"

namespace review {

namespace {

constexpr auto event_count = 35;
constexpr auto event_bytes = 50;
constexpr auto event_gap = ms(20);
/// The least receive buffer that the system gives a socket.
constexpr auto small_buffer = 2304;
constexpr auto reading_pause = ms(5000);
constexpr auto clients_count = 8;
/// LOST: more than three.
constexpr auto allowed_losses = 3;

auto event_text(const std::string& id, int number) -> std::string
{
    auto data = id + " " + std::to_string(number) + " ";
    data.resize(event_bytes, 'x');
    return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

auto whole_stream(const std::string& id) -> std::string
{
    auto events = std::string();
    for (auto number = 1; number <= event_count; ++number) {
        events += event_text(id, number);
    }
    return events;
}

} // namespace

/// Clients with a small window stop reading for a while in the middle of a
/// stream, and go on before their deadline.
auto run_slow_reader(record& log, bool has_trouble) -> outcome
{
    const auto folder = temporary_folder();
    auto platform = store();
    auto completed = std::atomic<int>(0);
    const auto hook = [&](engine& self, connection& caller,
                          const message& request) {
        const auto id = request.find("X-Almondtiller-Request-Id");
        auto headers = self.answer_headers(request);
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Transfer-Encoding", "chunked");
        log.write("engine " + self.id() + " runs " + id);
        caller.send(encode("HTTP/1.1 200 OK", headers, ""));
        for (auto number = 1; number <= event_count; ++number) {
            sleep_for(event_gap);
            const auto text = event_text(id, number);
            char size[20];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!caller.send(size + text + "\r\n")) {
                return true;
            }
        }
        if (caller.send("0\r\n\r\n")) {
            ++completed;
            log.write("engine " + self.id() + " has sent all of " + id);
        }
        return true;
    };
    auto engines = std::vector<std::unique_ptr<engine>>();
    for (const auto* zone : {"a", "b"}) {
        engines.push_back(std::make_unique<engine>(
            log, std::string("i-model-") + zone, "model", zone, hook));
        platform.put("servers", engines.back()->id(),
                     engines.back()->entry("ready", 1, 1700000000000));
    }
    auto config = make_configuration(1);
    for (auto& route : config["routes"]) {
        route["timeoutMs"] = 12000;
        route["targetLatencyMs"] = 2500;
        route["targetGapMs"] = 250;
    }
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
    // The rule holds for machines whose start is contactMs ago, 4 s on the
    // sheet.
    sleep_for(ms(5000));
    auto whole = std::atomic<int>(0);
    auto lost = std::atomic<int>(0);
    auto clients = std::vector<std::thread>();
    for (auto index = 0; index < clients_count; ++index) {
        clients.emplace_back([&, index]() {
            const auto& target = *nodes[std::size_t(index) % nodes.size()];
            const auto caller =
                connection::open(target.front(), ms(1000), small_buffer);
            if (!caller) {
                return;
            }
            // The first request is read at once, so that the connection is a
            // kept one.
            for (const auto is_slow : {false, true}) {
                const auto id = next_id();
                auto headers = client_headers(id, 12000);
                headers.insert(headers.end(),
                               {{"X-Almondtiller-Model", "m"},
                                {"X-Almondtiller-Token-Counts", "200,35"},
                                {"X-Almondtiller-Prompt-Prefix",
                                 "5c1e07a2:100," + id + ":40"},
                                {"Content-Length", "0"}});
                const auto sent = elapsed_ms();
                log.write("client sends " + id);
                caller->send(encode("POST /stream/x HTTP/1.1", headers, ""));
                if (is_slow && has_trouble) {
                    caller->read_more();
                    log.write("client reads no more of " + id);
                    sleep_for(reading_pause);
                    log.write("client goes on with " + id);
                }
                const auto answer = caller->read_answer();
                const auto is_whole = answer && answer->status() == 200 &&
                                      answer->body == whole_stream(id);
                log.write("client has " +
                          std::string(is_whole ? "the whole answer to "
                                               : "no whole answer to ") +
                          id + ", " + std::to_string(elapsed_ms() - sent) +
                          " ms after it was sent" +
                          (caller->is_ended() ? "; the node has closed the "
                                                "connection"
                                              : ""));
                if (is_slow) {
                    whole += is_whole ? 1 : 0;
                    lost += !is_whole && caller->is_ended() ? 1 : 0;
                } else if (!is_whole) {
                    return;
                }
            }
        });
    }
    for (auto& client : clients) {
        client.join();
    }
    log.write(std::to_string(completed) + " streams sent whole by engines; " +
              std::to_string(whole) + " of the slow clients got theirs, " +
              std::to_string(lost) + " connections were closed before its end");
    nodes.clear();
    engines.clear();
    platform.stop();
    if (whole + lost == 0) {
        return outcome::could_not_run;
    }
    return lost > allowed_losses ? outcome::broken : outcome::held;
}

} // namespace review
