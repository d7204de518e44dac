#include "cases.h"
#include "world.h"

namespace review {

namespace {

constexpr auto routes =
    R"([{"name":"read","hostname":"pule25.example","pathPrefix":"/read/",)"
    R"("routeType":"idempotent","service":"gang-desk","timeoutMs":10000,)"
    R"("targetLatencyMs":300,"priority":2,"maxAttempts":2}])";
constexpr auto services = R"([{"name":"gang-desk"}])";
constexpr auto clients = 8;
constexpr auto answer_bytes = std::size_t(900000);

} // namespace

auto slow_reader(const std::string& record_path, bool trouble) -> int
{
    auto& around = *new world(record_path, 1);
    around.add_engine(
        "desk-0", "gang-desk", "cant-a", 12,
        [](world& in, engine&, connection& caller) {
            while (const auto request = caller.read_message()) {
                const auto id = request->header("X-Almondtiller-Request-Id");
                in.seen.on_arrival(id, "desk-0");
                caller.write(answer_text(
                    200,
                    {{"X-Almondtiller-Request-Id", id},
                     {"X-Almondtiller-Response-Seal", "3e1b.07." + id}},
                    std::string(answer_bytes, 'x')));
            }
        });
    around.put_config(routes, services);
    if (!around.start_nodes()) {
        around.finish();
        return could_not_run;
    }
    auto threads = std::vector<std::thread>();
    auto lost = std::atomic<int>(0);
    for (auto index = 0; index < clients; ++index) {
        threads.emplace_back([&]() {
            const auto own = connection::open(around.nodes.front()->front());
            own->set_receive_buffer(65536);
            own->set_timeout(milliseconds(12000));
            const auto id = new_request_id();
            auto request =
                make_request("/read/" + id, id, milliseconds(10000), "");
            request.start = "GET /read/" + id + " HTTP/1.1";
            own->write(request_text(request));
            auto head = own->read_head();
            if (trouble) {
                sleep_for(milliseconds(5000));
            }
            auto body = std::string();
            const auto is_whole = head && own->read_body(*head, body);
            around.out.line(id + " got " + std::to_string(body.size()) +
                            " bytes, whole: " + (is_whole ? "yes" : "no"));
            lost += is_whole ? 0 : 1;
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    around.finish();
    return lost > 3 ? broken : held;
}

} // namespace review
