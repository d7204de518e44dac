#include "cases.h"
#include "world.h"

#include <algorithm>
#include <csignal>

namespace review {

namespace {

constexpr auto routes =
    R"([{"name":"redraft","hostname":"pule25.example","pathPrefix":"/redraft/",)"
    R"("routeType":"streaming","service":"tiller-pool","timeoutMs":6000,)"
    R"("targetLatencyMs":1300,"priority":1,"maxAttempts":1,"sticky":true,)"
    R"("stages":[{"service":"vessel-feed","bytes":3000000}]},)"
    R"({"name":"confirm","hostname":"pule25.example","pathPrefix":"/confirm/",)"
    R"("routeType":"non_idempotent","service":"gang-desk","timeoutMs":2000,)"
    R"("targetLatencyMs":300,"priority":2,"maxAttempts":1}])";
constexpr auto services =
    R"([{"name":"tiller-pool","engine":{"slots":128,)"
    R"("kvCapacityTokens":270622}},{"name":"gang-desk"},)"
    R"({"name":"vessel-feed","pieces":{"slots":1,"queue":2,"batch":8,)"
    R"("callMs":150,"itemMs":16,"headroomMb":43,"handleS":4,)"
    R"("linkMbps":10000}}])";

constexpr auto node_count = 6;
constexpr auto clients = 24;
/// The platform starts a process that has ended again after this time.
constexpr auto restart_delay = milliseconds(500);
/// Connections of a crowd of clients to one node.
constexpr auto crowd_size = 1450;
/// Between two of them, so that the node still gets to its other work.
constexpr auto crowd_pause = milliseconds(1);
/// Excused by the rule.
constexpr auto allowed_losses = 3;

auto add_engines(world& around) -> void
{
    const auto zones = std::vector<std::string>{"cant-a", "cant-b", "cant-c"};
    for (auto index = std::size_t(0); index < zones.size(); ++index) {
        const auto number = std::to_string(index);
        around.add_engine("feed-" + number, "vessel-feed", zones[index], 1,
                          [](world& in, engine& self, connection& caller) {
                              serve_stage(in, self, caller, milliseconds(150),
                                          milliseconds(16));
                          });
        around.add_engine("model-" + number, "tiller-pool", zones[index], 128,
                          [](world& in, engine& self, connection& caller) {
                              serve_model(in, self, caller, milliseconds(60), 5,
                                          milliseconds(20));
                          });
        around.add_engine("desk-" + number, "gang-desk", zones[index], 12,
                          [](world& in, engine& self, connection& caller) {
                              serve_plain(in, self, caller, milliseconds(300));
                          });
    }
}

/// Sends one request whose header is inside all limits.
auto send_staged(world& around, std::size_t node, const std::string& pieces,
                 const std::string& key) -> outcome
{
    const auto id = new_request_id();
    auto request =
        make_request("/redraft/" + id, id, milliseconds(6000), "prompt");
    request.headers.emplace_back("X-Almondtiller-Model", "m");
    request.headers.emplace_back("X-Almondtiller-Token-Counts", "1460,80");
    request.headers.emplace_back("X-Almondtiller-Prompt-Prefix",
                                 "5c1e07a2:800," + id + ":660");
    request.headers.emplace_back("X-Almondtiller-Pieces", pieces);
    request.headers.emplace_back("X-Almondtiller-Piece-Key", key);
    return client(around, *around.nodes[node])
        .send(request, milliseconds(7000));
}

/// Restarts processes that have ended, as the platform does, and kills one
/// whose memory exceeds its limit.
struct supervisor
{
    world& around;
    std::atomic<bool> is_over{false};
    std::atomic<int> ends{0};
    std::map<node_process*, clock::time_point> restart_at;
    std::map<node_process*, int> ends_of;
    std::thread thread;

    explicit supervisor(world& watched) : around(watched)
    {
        this->thread = std::thread([this]() { this->run(); });
    }

    auto check(node_process& node) -> void
    {
        constexpr auto limit_kb = 260 * 1024;
        const auto now = clock::now();
        const auto ended = this->restart_at.find(&node);
        if (ended != this->restart_at.end()) {
            if (ended->second <= now) {
                this->restart_at.erase(ended);
                node.start();
            }
            return;
        }
        const auto memory = node.memory_kb("VmRSS");
        if (memory > limit_kb) {
            this->around.out.line(node.name() + " uses " +
                                  std::to_string(memory) +
                                  " KB, more than its limit, and is killed");
            node.signal(SIGKILL);
        }
        if (!node.is_running()) {
            ++this->ends;
            ++this->ends_of[&node];
            this->around.out.line(node.name() +
                                  " has ended: " + node.end_text());
            this->restart_at[&node] = now + restart_delay;
        }
    }

    auto run() -> void
    {
        while (!this->is_over) {
            for (const auto& node : this->around.nodes) {
                this->check(*node);
            }
            sleep_for(milliseconds(10));
        }
    }

    auto stop() -> void
    {
        this->is_over = true;
        this->thread.join();
    }

    /// \return Whether enough machines had three ends each, as the rule on
    ///         faults says: a tenth, two at least.
    [[nodiscard]] auto breaks_rule() const -> bool
    {
        const auto often =
            std::count_if(this->ends_of.begin(), this->ends_of.end(),
                          [](const auto& item) { return item.second >= 3; });
        return often >= 2;
    }
};

/// Ordinary clients, which keep their connections.
struct traffic
{
    world& around;
    std::atomic<bool> is_over{false};
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;

    explicit traffic(world& served_by) : around(served_by)
    {
        for (auto index = 0; index < clients; ++index) {
            this->threads.emplace_back([this, index]() { this->run(index); });
        }
    }

    auto run(int index) -> void
    {
        const auto& nodes = this->around.nodes;
        auto own =
            client(this->around, *nodes[std::size_t(index) % nodes.size()]);
        // Spreads the clients over the time that a request and a pause take.
        sleep_for(milliseconds(17 * index));
        while (!this->is_over) {
            const auto id = new_request_id();
            const auto got = own.send(
                make_request("/confirm/" + id, id, milliseconds(4000), "order"),
                milliseconds(4500));
            if (got.status != 0) {
                ++this->answered;
            } else if (got.was_kept && got.is_closed &&
                       this->around.seen.arrivals(id) > 0) {
                ++this->lost;
                this->around.out.line(
                    id + " came on a kept connection, was passed on to a sound "
                         "engine, and its connection was closed without an "
                         "answer");
            }
            sleep_for(milliseconds(got.status == 0 ? 300 : 100));
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

/// \return The result of a case after its traffic has been stopped.
auto judge(world& around, const traffic& ordinary, const supervisor& watch)
    -> int
{
    around.out.line("answered: " + std::to_string(ordinary.answered) +
                    ", lost: " + std::to_string(ordinary.lost) +
                    ", ends of processes: " + std::to_string(watch.ends));
    around.finish();
    if (ordinary.answered == 0) {
        return could_not_run;
    }
    return ordinary.lost > allowed_losses || watch.breaks_rule() ? broken
                                                                 : held;
}

/// Ordinary traffic beside requests of a client that the operators do not
/// control.
auto play(const std::string& record_path, bool trouble,
          const std::string& pieces, const std::string& key) -> int
{
    auto& around = *new world(record_path, node_count);
    add_engines(around);
    around.put_config(routes, services);
    if (!around.start_nodes()) {
        around.out.line("the nodes are not ready");
        around.finish();
        return could_not_run;
    }
    auto watch = supervisor(around);
    auto ordinary = traffic(around);
    sleep_for(milliseconds(2000));
    for (auto index = std::size_t(0); index < 4; ++index) {
        const auto got = send_staged(around, index, trouble ? pieces : "1",
                                     trouble ? key : "7c1e07a291bd");
        around.out.line("the staged request got status " +
                        std::to_string(got.status));
        sleep_for(milliseconds(3000));
    }
    ordinary.stop();
    watch.stop();
    return judge(around, ordinary, watch);
}

} // namespace

auto odd_piece_key(const std::string& record_path, bool trouble) -> int
{
    return play(record_path, trouble, "1",
                "gr\xfa"
                "a-7c1e07a291bd");
}

auto many_pieces(const std::string& record_path, bool trouble) -> int
{
    return play(record_path, trouble, "2000000", "7c1e07a291bd");
}

auto many_fields(const std::string& record_path, bool trouble) -> int
{
    auto& around = *new world(record_path, 1);
    add_engines(around);
    around.put_config(routes, services);
    if (!around.start_nodes()) {
        around.out.line("the node is not ready");
        around.finish();
        return could_not_run;
    }
    auto watch = supervisor(around);
    auto& node = *around.nodes.front();
    auto ordinary = traffic(around);
    sleep_for(milliseconds(2000));
    // The head is as large in both cases, and inside maxHeaderBytes. The only
    // chunk of the body lacks its last byte.
    auto head = std::string("POST /confirm/x HTTP/1.1\r\nHost: pule25.example"
                            "\r\nTransfer-Encoding: chunked\r\n");
    constexpr auto head_bytes = std::size_t(16000);
    const auto field = trouble ? std::string("a:\r\n")
                               : "a: " + std::string(3900, 'b') + "\r\n";
    while (head.size() + field.size() < head_bytes) {
        head += field;
    }
    head += "\r\na\r\n123456789";
    auto crowd = std::vector<std::unique_ptr<connection>>();
    auto largest = 0L;
    for (auto index = 0; index < crowd_size; ++index) {
        auto one = connection::open(node.front());
        if (!one || !one->write(head)) {
            break;
        }
        crowd.push_back(std::move(one));
        largest = std::max(largest, node.memory_kb("VmRSS"));
        sleep_for(crowd_pause);
    }
    around.out.line(std::to_string(crowd.size()) +
                    " requests were sent up to their last byte, each with " +
                    std::to_string(head.size()) + " bytes");
    for (auto index = 0; index < 100; ++index) {
        largest = std::max(largest, node.memory_kb("VmRSS"));
        sleep_for(milliseconds(10));
    }
    const auto is_crowd_short =
        crowd.size() < std::size_t(crowd_size) && watch.ends == 0;
    crowd.clear();
    sleep_for(milliseconds(4000));
    ordinary.stop();
    watch.stop();
    around.out.line("largest memory seen: " + std::to_string(largest) + " KB");
    const auto result = judge(around, ordinary, watch);
    return is_crowd_short ? could_not_run : result;
}

} // namespace review
