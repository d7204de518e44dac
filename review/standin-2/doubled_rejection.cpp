#include "cases.h"
#include "world.h"

#include <array>

namespace review {

namespace {

constexpr auto routes =
    R"([{"name":"redraft","hostname":"pule25.example","pathPrefix":"/redraft/",)"
    R"("routeType":"streaming","service":"tiller-pool","timeoutMs":6000,)"
    R"("targetLatencyMs":1300,"priority":1,"maxAttempts":1,"sticky":true,)"
    R"("stages":[{"service":"vessel-feed","bytes":3000000},)"
    R"({"service":"yard-map","bytes":60000}]}])";
constexpr auto services =
    R"([{"name":"tiller-pool","engine":{"slots":128,)"
    R"("kvCapacityTokens":270622}},)"
    R"({"name":"vessel-feed","pieces":{"slots":1,"queue":2,"batch":8,)"
    R"("callMs":150,"itemMs":16,"headroomMb":43,"handleS":4,"linkMbps":10000}},)"
    R"({"name":"yard-map","pieces":{"slots":1,"queue":2,"batch":16,)"
    R"("callMs":150,"itemMs":8,"headroomMb":2.9,"handleS":4,)"
    R"("linkMbps":10000}}])";

constexpr auto model_engines = 12;
/// The disruption spoils the answers of at most 0.6 of the engines.
constexpr auto doubling_engines = 7;
constexpr auto stage_engines = 6;
constexpr auto node_count = 6;
constexpr auto clients = 42;
/// Answers that are sent twice: at most 0.03 of those of the seven engines
/// within the 5 s of the disruption, which are over 100.
constexpr auto copies = 3;
/// How often the disruption comes. Each takes another stage engine.
constexpr auto episodes = 10;
/// Parts that prompts share.
constexpr auto shared_parts = 30;

auto add_feed(world& around, int index, const std::string& mark) -> void
{
    const auto zone = std::string("cant-") + char('a' + index % 3);
    around.add_engine("feed-" + mark + std::to_string(index), "vessel-feed",
                      zone, 1, [](world& in, engine& self, connection& caller) {
                          serve_stage(in, self, caller, milliseconds(150),
                                      milliseconds(16));
                      });
}

/// \return A stage engine that holds several results.
auto busiest_feed(world& around) -> engine&
{
    const auto end = clock::now() + milliseconds(300);
    engine* busiest = nullptr;
    auto held = std::size_t(0);
    while (held < 4 && clock::now() < end) {
        held = 0;
        for (const auto& [id, one] : around.engines) {
            if (one->service == "vessel-feed" &&
                around.results.held_by(id) >= held) {
                held = around.results.held_by(id);
                busiest = one.get();
            }
        }
        sleep_for(milliseconds(1));
    }
    return *busiest;
}

} // namespace

auto doubled_rejection(const std::string& record_path, bool trouble) -> int
{
    auto& around = *new world(record_path, node_count);
    const auto zones = std::array<std::string, 3>{"cant-a", "cant-b", "cant-c"};
    for (auto index = 0; index < stage_engines; ++index) {
        const auto& zone = zones[std::size_t(index) % zones.size()];
        add_feed(around, index, "");
        around.add_engine("map-" + std::to_string(index), "yard-map", zone, 1,
                          [](world& in, engine& self, connection& caller) {
                              serve_stage(in, self, caller, milliseconds(150),
                                          milliseconds(8));
                          });
    }
    for (auto index = 0; index < model_engines; ++index) {
        around.add_engine("model-" + std::to_string(index), "tiller-pool",
                          zones[std::size_t(index) % zones.size()], 128,
                          [](world& in, engine& self, connection& caller) {
                              serve_model(in, self, caller, milliseconds(60), 5,
                                          milliseconds(20));
                          });
    }
    around.put_config(routes, services);
    if (!around.start_nodes()) {
        around.out.line("the nodes are not ready");
        around.finish();
        return could_not_run;
    }
    auto is_over = std::atomic<bool>(false);
    auto counts = std::array<std::atomic<int>, 600>();
    auto threads = std::vector<std::thread>();
    auto refused_mutex = std::mutex();
    auto refused = std::vector<std::string>();
    for (auto index = 0; index < clients; ++index) {
        threads.emplace_back([&, index]() {
            auto own =
                client(around, *around.nodes[std::size_t(index % node_count)]);
            sleep_for(milliseconds(30 * index));
            auto turn = index;
            while (!is_over) {
                const auto id = new_request_id();
                auto request = make_request("/redraft/" + id, id,
                                            milliseconds(6000), "prompt");
                request.headers.emplace_back("X-Almondtiller-Model", "m");
                request.headers.emplace_back("X-Almondtiller-Token-Counts",
                                             "1460,80");
                request.headers.emplace_back(
                    "X-Almondtiller-Prompt-Prefix",
                    "5c1e07" + std::to_string(100 + turn++ * 7 % shared_parts) +
                        ":800," + id + ":660");
                request.headers.emplace_back("X-Almondtiller-Pieces", "1,8");
                request.headers.emplace_back("X-Almondtiller-Piece-Key", id);
                const auto got = own.send(request, milliseconds(7000));
                ++counts.at(std::size_t(got.status));
                if (got.status == 503) {
                    const auto lock = std::lock_guard(refused_mutex);
                    refused.push_back(id);
                }
                if (!got.is_complete) {
                    around.out.line(id + " has no complete answer");
                }
                sleep_for(milliseconds(500));
            }
        });
    }
    const auto answers_of_doubling = [&around]() {
        auto answers = 0;
        for (auto index = 0; index < doubling_engines; ++index) {
            answers +=
                around.engines["model-" + std::to_string(index)]->answers;
        }
        return answers;
    };
    sleep_for(milliseconds(4000));
    const auto set_doubling = [&around](bool doubles) {
        for (auto index = 0; index < doubling_engines; ++index) {
            around.engines["model-" + std::to_string(index)]
                ->doubles_rejection = doubles;
        }
    };
    for (auto episode = 0; trouble && episode < episodes; ++episode) {
        around.copies_left = copies;
        set_doubling(true);
        const auto answers_before = answers_of_doubling();
        sleep_for(milliseconds(1200));
        auto& lost = busiest_feed(around);
        around.out.line(lost.id + " crashes with " +
                        std::to_string(around.crash(lost)) + " results");
        // Three heartbeats later its entry is removed.
        sleep_for(milliseconds(3500));
        set_doubling(false);
        around.platform.remove("servers", lost.id);
        const auto index = lost.id.back() - '0';
        add_feed(around, index, "again" + std::to_string(episode) + "-");
        around.out.line("answers of the engines that double some: " +
                        std::to_string(answers_of_doubling() - answers_before));
        sleep_for(milliseconds(2500));
    }
    sleep_for(milliseconds(trouble ? 1000 : 12000));
    is_over = true;
    for (auto& thread : threads) {
        thread.join();
    }
    sleep_for(milliseconds(500));
    const auto twice = around.seen.run_twice();
    auto false_refusals = 0;
    for (const auto& id : refused) {
        if (around.seen.runs(id) > 0) {
            around.out.line(id + " was answered 503 and has run");
            ++false_refusals;
        }
    }
    for (auto status = std::size_t(0); status < counts.size(); ++status) {
        if (counts[status] > 0) {
            around.out.line("answers with status " + std::to_string(status) +
                            ": " + std::to_string(counts[status]));
        }
    }
    around.out.line(
        "requests that ran: " + std::to_string(around.seen.total_runs()) +
        ", more than once: " + std::to_string(twice.size()) +
        ", answered 503 after a run: " + std::to_string(false_refusals));
    around.finish();
    if (counts[200] == 0) {
        return could_not_run;
    }
    return twice.empty() && false_refusals == 0 ? held : broken;
}

} // namespace review
