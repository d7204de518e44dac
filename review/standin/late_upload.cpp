/// The nodes are stopped with SIGTERM and started again, one after the other,
/// while callers upload bodies that take half a second.

#include "standin.h"

namespace {

using namespace review;

constexpr auto rounds = 2;
constexpr auto grace_ms = 8000;
constexpr auto caller_count = 60;
constexpr auto body_parts = 10;
constexpr auto part_bytes = 2000;
constexpr auto part_pause_ms = 50;
constexpr auto deadline_ms = 3000;

/// The addresses that a caller uses, and until when.
struct directory_answer
{
    std::vector<std::string> addresses;
    long valid_until = 0;
};

auto resolve(const std::vector<std::unique_ptr<node>>& nodes, std::size_t first,
             long lifetime_factor) -> directory_answer
{
    for (auto index = std::size_t(0); index < nodes.size(); ++index) {
        const auto& asked = *nodes[(first + index) % nodes.size()];
        const auto peer = dial(asked.ip, node::directory_port, 1000);
        if (!peer ||
            !peer->write("GET /almondtiller/resolve?name=shop.example&region=r"
                         "&zone=" +
                         asked.zone + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
            continue;
        }
        const auto answer = peer->read(steady::now() + milliseconds(1000));
        if (!answer || answer->status != 200) {
            continue;
        }
        const auto body = json::parse(answer->body);
        return {body["addresses"].get<std::vector<std::string>>(),
                now_ms() +
                    long(body["ttlS"].get<double>() * 1000) * lifetime_factor};
    }
    return {};
}

struct upload
{
    outcome result;
    std::string address;
    long last_byte_ms = 0;
};

/// Sends an order whose body comes in parts.
auto send_order(const std::string& address) -> upload
{
    auto made = upload();
    made.address = address;
    auto& result = made.result;
    result.request = random_hex();
    const auto peer =
        dial(address.substr(0, address.find(':')), node::front_port, 1000);
    if (!peer) {
        return made;
    }
    result.sent_ms = now_ms();
    auto is_open =
        peer->write("POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    "X-Almondtiller-Request-Id: " +
                    result.request + "\r\nX-Almondtiller-Deadline-Ms: " +
                    std::to_string(deadline_ms) + "\r\nContent-Length: " +
                    std::to_string(body_parts * part_bytes) + "\r\n\r\n");
    for (auto part = 0; part < body_parts && is_open; ++part) {
        sleep_ms(part_pause_ms);
        is_open = peer->write(std::string(part_bytes, 'b'));
    }
    result.was_sent = is_open;
    made.last_byte_ms = now_ms();
    const auto answer = peer->read(steady::now() + milliseconds(deadline_ms));
    if (answer) {
        result.status = answer->status;
        result.is_complete = answer->is_complete;
    }
    result.ended = peer->is_ended();
    result.answered_ms = now_ms();
    return made;
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
                                         "desk", 3000, 1)},
                             {{{"name", "desk"},
                               {"healthPath", "/healthz"},
                               {"maxConns", 96},
                               {"coldStartS", 0.0},
                               {"coldPerS", 0.0}}},
                             json::array()));
    auto engines = std::vector<std::unique_ptr<engine>>();
    constexpr auto slots = 16;
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
    auto uploads = std::vector<upload>();
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller]() {
            auto random = std::mt19937(unsigned(caller));
            // Half of the callers keep an answer three times as long.
            const auto factor = caller % 2 == 0 ? 3L : 1L;
            auto known = directory_answer();
            sleep_ms(long(random() % 2000));
            while (!is_over) {
                if (now_ms() >= known.valid_until) {
                    const auto fresh =
                        resolve(nodes, std::size_t(caller) % 3, factor);
                    known = fresh.addresses.empty() ? known : fresh;
                }
                if (known.addresses.empty()) {
                    sleep_ms(100);
                    continue;
                }
                const auto chosen = random() % known.addresses.size();
                const auto made = send_order(known.addresses[chosen]);
                if (made.result.sent_ms == 0) {
                    // An address that failed is not used again.
                    known.addresses.erase(known.addresses.begin() +
                                          long(chosen));
                    known.valid_until =
                        known.addresses.empty() ? 0 : known.valid_until;
                    continue;
                }
                {
                    const auto lock = std::lock_guard(mutex);
                    uploads.push_back(made);
                }
                sleep_ms(20 + long(random() % 80));
            }
        });
    }
    constexpr auto calm_ms = 4000;
    sleep_ms(calm_ms);
    auto stops = std::vector<std::pair<std::string, long>>();
    for (auto round = 0; round < rounds; ++round) {
        for (const auto& one : nodes) {
            if (!has_trouble()) {
                sleep_ms(calm_ms);
                continue;
            }
            const auto stopped_at = now_ms();
            stops.emplace_back(one->ip, stopped_at);
            one->signal(SIGTERM);
            auto status = 0;
            const auto has_ended =
                wait_until([&]() { return one->has_ended(status); }, grace_ms);
            record.say(one->name + ": SIGTERM at " +
                       std::to_string(stopped_at) + " ms, ended after " +
                       std::to_string(now_ms() - stopped_at) + " ms");
            if (!has_ended) {
                one->stop();
            }
            one->start();
            wait_until([&]() { return one->is_ready(); }, 5000);
            constexpr auto pause_ms = 1500;
            sleep_ms(pause_ms);
        }
    }
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    auto run_at = std::map<std::string, long>();
    for (const auto& item : runs.all()) {
        run_at[item.request] = item.arrived_ms;
    }
    auto lost = 0;
    auto served = 0;
    for (const auto& made : uploads) {
        const auto& got = made.result;
        const auto run = run_at.find(got.request);
        const auto was_run = run != run_at.end();
        record.write("order " + got.request + " to " + made.address +
                     " sent at " + std::to_string(got.sent_ms) +
                     " last byte at " + std::to_string(made.last_byte_ms) +
                     " status " + std::to_string(got.status) + " at " +
                     std::to_string(got.answered_ms) +
                     (was_run ? " run at " + std::to_string(run->second)
                              : std::string(" not run")));
        served += got.status == 200 ? 1 : 0;
        const auto is_near_stop =
            std::any_of(stops.begin(), stops.end(), [&made](const auto& stop) {
                return made.address.starts_with(stop.first + ":") &&
                       made.result.answered_ms > stop.second &&
                       made.result.answered_ms < stop.second + grace_ms + 1000;
            });
        // The end of the connection without an answer, before the deadline.
        if (was_run && got.ended && !got.is_complete &&
            (is_near_stop || !has_trouble())) {
            ++lost;
            record.say("LOST: order " + got.request + " to " + made.address +
                       " was run at " + std::to_string(run->second) +
                       " ms, its connection ended at " +
                       std::to_string(got.answered_ms) +
                       " ms without an answer");
        }
    }
    record.say(std::to_string(uploads.size()) + " orders, " +
               std::to_string(served) + " served, " + std::to_string(lost) +
               " passed on to an engine and cut off by the stop");
    leave(lost > 0 ? 1 : 0, folder, nodes);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        return 2;
    }
    play(argv[1]);
}
