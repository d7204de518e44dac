#include "cases.h"
#include "world.h"

#include <csignal>

namespace review {

namespace {

constexpr auto routes =
    R"([{"name":"confirm","hostname":"pule25.example","pathPrefix":"/confirm/",)"
    R"("routeType":"non_idempotent","service":"gang-desk","timeoutMs":2000,)"
    R"("targetLatencyMs":300,"priority":2,"maxAttempts":1}])";
constexpr auto services = R"([{"name":"gang-desk"}])";

/// An entry of another writer. It is JSON, but the zone is no text: a string
/// may hold an escape of half a character (RFC 8259, section 8.2), as some
/// writers encode a byte that they cannot read.
constexpr auto odd_content =
    R"({"service":"gang-desk","address":"127.0.0.1:9","zone":"cant-\udcff",)"
    R"("version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1})";

constexpr auto node_count = 3;
constexpr auto engine_count = 4;
constexpr auto clients = 12;
constexpr auto slots = 6;
/// Bounds of the deployment.
constexpr auto drain_time = milliseconds(2000);
constexpr auto recovery_time = milliseconds(12000);

/// Sends requests until it is told to stop, and notes when each was sent.
struct caller_group
{
    world& around;
    std::atomic<bool> is_over{false};
    std::mutex mutex;
    std::map<std::string, milliseconds> sent_at;
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;

    explicit caller_group(world& shared) : around(shared)
    {
        for (auto index = 0; index < clients; ++index) {
            this->threads.emplace_back([this, index]() { this->run(index); });
        }
    }

    auto run(int index) -> void
    {
        auto own = client(this->around,
                          *this->around.nodes[std::size_t(index % node_count)]);
        while (!this->is_over) {
            const auto id = new_request_id();
            {
                const auto lock = std::lock_guard(this->mutex);
                this->sent_at[id] = this->around.out.elapsed();
            }
            ++this->sent;
            const auto got = own.send(
                make_request("/confirm/" + id, id, milliseconds(4000), "order"),
                milliseconds(4500));
            this->served += got.status == 200 && got.is_complete ? 1 : 0;
            sleep_for(milliseconds(150));
        }
    }

    auto stop() -> void
    {
        this->is_over = true;
        for (auto& thread : this->threads) {
            thread.join();
        }
    }
};

} // namespace

auto odd_entry(const std::string& record_path, bool trouble) -> int
{
    auto& around = *new world(record_path, node_count);
    auto arrivals_mutex = std::mutex();
    auto arrived_at_leaving = std::vector<std::string>();
    for (auto index = 0; index < engine_count; ++index) {
        const auto serves = [&arrivals_mutex, &arrived_at_leaving, index](
                                world& in, engine& self, connection& caller) {
            while (const auto request = caller.read_message()) {
                const auto id = request->header("X-Almondtiller-Request-Id");
                if (index == 0) {
                    const auto lock = std::lock_guard(arrivals_mutex);
                    arrived_at_leaving.push_back(id);
                }
                answer_plain(in, self, *request, caller, milliseconds(60));
            }
        };
        around.add_engine("desk-" + std::to_string(index), "gang-desk",
                          std::string("cant-") + char('a' + index % 3), slots,
                          serves);
    }
    around.put_config(routes, services);
    if (!around.start_nodes()) {
        around.out.line("the nodes are not ready");
        around.finish();
        return could_not_run;
    }
    auto callers = caller_group(around);
    sleep_for(milliseconds(2000));
    if (trouble) {
        around.platform.put("servers", "probe-7", odd_content);
        around.out.line("another writer has written the entry probe-7");
    }
    sleep_for(milliseconds(2000));
    auto& leaving = *around.engines["desk-0"];
    around.register_engine(leaving, "draining", slots);
    const auto acknowledged = around.out.elapsed();
    around.out.line("the store has acknowledged that desk-0 is draining");
    // It serves for drainMs after that and some seconds longer, then it exits.
    sleep_for(drain_time + milliseconds(4000));
    auto late = 0;
    {
        const auto lock = std::scoped_lock(arrivals_mutex, callers.mutex);
        for (const auto& id : arrived_at_leaving) {
            if (callers.sent_at[id] > acknowledged + drain_time) {
                ++late;
            }
        }
    }
    around.out.line("requests sent later than drainMs after that which reached "
                    "desk-0: " +
                    std::to_string(late));
    around.platform.remove("servers", leaving.id);
    sleep_for(milliseconds(500));
    leaving.listener->stop();
    callers.stop();
    around.out.line("requests: " + std::to_string(callers.sent) +
                    ", served: " + std::to_string(callers.served));

    // The final fault: all processes are killed and started again.
    for (const auto& node : around.nodes) {
        node->signal(SIGKILL);
        while (node->is_running()) {
            sleep_for(milliseconds(5));
        }
    }
    sleep_for(milliseconds(800));
    for (const auto& node : around.nodes) {
        node->start();
    }
    around.out.line("all processes were killed and started again");
    sleep_for(recovery_time);
    auto ready = 0;
    for (const auto& node : around.nodes) {
        ready += node->is_ready() ? 1 : 0;
    }
    auto late_callers = caller_group(around);
    sleep_for(milliseconds(3000));
    late_callers.stop();
    around.out.line("after recoveryS: nodes ready: " + std::to_string(ready) +
                    " of " + std::to_string(node_count) +
                    ", requests: " + std::to_string(late_callers.sent) +
                    ", served: " + std::to_string(late_callers.served));
    const auto is_recovered = 4 * late_callers.served >= late_callers.sent;
    const auto was_served = 4 * callers.served >= callers.sent;
    around.finish();
    if (!was_served) {
        return could_not_run;
    }
    return late == 0 && is_recovered ? held : broken;
}

} // namespace review
