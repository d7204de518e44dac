/// One engine answers with a chunked body whose chunk header never ends. The
/// platform kills processes that exceed their memory.

#include "standin.h"

namespace {

using namespace review;

constexpr auto run_ms = 40000L;
constexpr auto memory_mb = 260;
constexpr auto restart_ms = 500;
constexpr auto link_bytes_per_ms = 125000L;

/// Sends bytes without end, at the speed of one link for all connections.
class endless_sender
{
public:
    auto serve(connection& peer, const std::string& request) -> bool
    {
        peer.write("HTTP/1.1 200 OK\r\nX-Almondtiller-Request-Id: " + request +
                   "\r\nX-Almondtiller-Response-Seal: s." + request +
                   "\r\nTransfer-Encoding: chunked\r\n\r\n10;");
        const auto part = std::string(32768, 'a');
        do {
            this->wait_for_turn(long(part.size()));
        } while (peer.write(part));
        return false;
    }

private:
    auto wait_for_turn(long bytes) -> void
    {
        auto turn = steady::now();
        {
            const auto lock = std::lock_guard(this->mutex);
            this->free_at = std::max(this->free_at, turn);
            turn = this->free_at;
            this->free_at +=
                std::chrono::microseconds(bytes * 1000 / link_bytes_per_ms);
        }
        std::this_thread::sleep_until(turn);
    }

    std::mutex mutex;
    steady::time_point free_at;
};

[[noreturn]] auto play(const std::string& record_path) -> void
{
    auto record = recorder(record_path);
    const auto folder = make_folder();
    const auto network = free_network();
    auto platform = store("127.0.0.1");
    auto runs = run_log();
    auto sender = endless_sender();
    platform.put("config", "main",
                 make_config(1,
                             {make_route("orders", "/orders/", "non_idempotent",
                                         "desk", 4000, 1),
                              make_route("reads", "/reads/", "idempotent",
                                         "desk", 4000, 2)},
                             {{{"name", "desk"},
                               {"healthPath", "/healthz"},
                               {"maxConns", 96},
                               {"coldStartS", 0.0},
                               {"coldPerS", 0.0}}},
                             json::array()));
    auto first = engine(platform, runs, "desk", "z-a", "127.0.0.1", 6, 60);
    auto second = engine(platform, runs, "desk", "z-b", "127.0.0.1", 6, 60);
    auto is_spoiling = std::atomic<bool>(false);
    auto third = engine(
        platform, runs, "desk", "z-c", "127.0.0.1", 6, 60,
        [&](connection& peer, const message& request) -> std::optional<bool> {
            const auto id = request.header("X-Almondtiller-Request-Id");
            if (!is_spoiling || id.empty()) {
                return std::nullopt;
            }
            return sender.serve(peer, id);
        });
    auto nodes = start_nodes(network, platform.address(), folder);
    if (!are_ready(nodes, 10000)) {
        record.say("the nodes did not become ready");
        leave(2, folder, nodes);
    }
    auto is_over = std::atomic<bool>(false);
    auto mutex = std::mutex();
    auto outcomes = std::vector<outcome>();
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < 12; ++caller) {
        callers.emplace_back([&, caller]() {
            while (!is_over) {
                const auto is_order = caller < 8;
                auto got = ask(*nodes[std::size_t(caller) % nodes.size()],
                               is_order ? "POST" : "GET",
                               is_order ? "/orders/1" : "/reads/1", 4000, "",
                               is_order ? "an order" : "");
                {
                    const auto lock = std::lock_guard(mutex);
                    outcomes.push_back(got);
                }
                record.write("request " + got.request + " sent at " +
                             std::to_string(got.sent_ms) + " status " +
                             std::to_string(got.status));
                sleep_ms(got.status == 200 ? 150 : 300);
            }
        });
    }
    auto ends = std::vector<int>(nodes.size());
    auto peaks = std::vector<long>(nodes.size());
    auto restart_at = std::vector<long>(nodes.size());
    const auto end = now_ms() + run_ms;
    is_spoiling = has_trouble();
    while (now_ms() < end) {
        for (auto index = std::size_t(0); index < nodes.size(); ++index) {
            auto status = 0;
            auto& one = *nodes[index];
            if (restart_at[index] != 0) {
                if (now_ms() >= restart_at[index]) {
                    restart_at[index] = 0;
                    one.start();
                }
                continue;
            }
            const auto resident = one.resident_mb();
            peaks[index] = std::max(peaks[index], resident);
            const auto is_over_limit = resident > memory_mb;
            if (is_over_limit) {
                one.stop();
            }
            if (is_over_limit || one.has_ended(status)) {
                ++ends[index];
                restart_at[index] = now_ms() + restart_ms;
                record.say(one.name + " ends: " + std::to_string(resident) +
                           " MB of " + std::to_string(memory_mb));
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
    auto lost = 0;
    auto served = 0;
    for (const auto& got : outcomes) {
        served += got.status == 200 ? 1 : 0;
        lost += got.status == 0 && run_ids.contains(got.request) ? 1 : 0;
    }
    auto machines = 0;
    for (auto index = std::size_t(0); index < nodes.size(); ++index) {
        record.say(nodes[index]->name + ": ended " +
                   std::to_string(ends[index]) + " times, peak " +
                   std::to_string(peaks[index]) + " MB");
        machines += ends[index] >= 3 ? 1 : 0;
    }
    record.say(std::to_string(outcomes.size()) + " requests, " +
               std::to_string(served) + " served, " + std::to_string(lost) +
               " run by an engine and never answered");
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
