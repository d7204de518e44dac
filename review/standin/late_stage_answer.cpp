/// Stage engines send a few of their answers twice. The second copy comes late,
/// where the answer to the next call is expected.

#include "standin.h"

namespace {

using namespace review;

/// The engines spoil answers for this long, and pause for as long.
constexpr auto spoil_ms = 5000L;
constexpr auto spoil_count = 4;
/// One answer in this many is sent twice, at three of the five engines.
constexpr auto answers_per_extra = 33;
constexpr auto spoiled_engines = 3;
constexpr auto handle_ms = 4000;

/// Which request and piece a stored result belongs to.
struct result_owner
{
    std::string request;
    long piece = 0;
    long expires_ms = 0;
};

class result_table
{
public:
    auto make(const std::string& address, const std::string& request,
              long piece) -> std::string
    {
        const auto lock = std::lock_guard(this->mutex);
        auto handle = address + "/" + random_hex().substr(0, 12);
        this->owners[handle] = {request, piece, now_ms() + handle_ms};
        this->made[handle] = request;
        return handle;
    }
    auto free(const std::string& handle) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->owners.erase(handle);
    }
    auto exists(const std::string& handle) -> bool
    {
        const auto lock = std::lock_guard(this->mutex);
        const auto found = this->owners.find(handle);
        return found != this->owners.end() &&
               found->second.expires_ms > now_ms();
    }
    auto request_of(const std::string& handle) -> std::string
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->made[handle];
    }

private:
    std::mutex mutex;
    std::map<std::string, result_owner> owners;
    std::map<std::string, std::string> made;
};

/// The part of an engine that runs pieces of stages.
class stage_part
{
public:
    stage_part(result_table& all_results, recorder& log,
               std::function<bool()> next_is_sent_twice)
        : results(all_results),
          record(log),
          is_sent_twice(std::move(next_is_sent_twice))
    {}

    auto serve(connection& peer, const message& request,
               const std::string& address) -> std::optional<bool>
    {
        auto extra = std::string();
        {
            const auto lock = std::lock_guard(this->mutex);
            extra = std::exchange(this->pending[peer.descriptor()], "");
        }
        if (!extra.empty()) {
            this->record.write("late second answer before that to " +
                               request.target);
            peer.write(extra);
        }
        if (request.target == "/almondtiller/stage-free") {
            for (const auto& handle : json::parse(request.body)["handles"]) {
                this->results.free(handle.get<std::string>());
            }
            return peer.write(answer_text(200, ""));
        }
        const auto items = json::parse(request.body)["items"];
        constexpr auto call_ms = 150;
        constexpr auto item_ms = 16;
        {
            // One call at a time.
            const auto turn = std::lock_guard(this->work);
            sleep_ms(call_ms + item_ms * long(items.size()));
        }
        auto list = json::array();
        for (const auto& item : items) {
            list.push_back(
                {{"handle",
                  this->results.make(address, item["id"].get<std::string>(),
                                     item["piece"].get<long>())}});
        }
        const auto answer =
            answer_text(200, json{{"items", list}}.dump(),
                        "Content-Type: application/json\r\n"
                        "X-Almondtiller-Engine-Load: 0,0,1\r\n");
        const auto lock = std::lock_guard(this->mutex);
        if (this->is_sent_twice()) {
            this->pending[peer.descriptor()] = answer;
        }
        return peer.write(answer);
    }

private:
    result_table& results;
    recorder& record;
    std::function<bool()> is_sent_twice;
    std::mutex mutex;
    std::mutex work;
    std::map<int, std::string> pending;
};

auto split_handles(const std::string& text) -> std::vector<std::string>
{
    auto handles = std::vector<std::string>();
    auto stream = std::istringstream(text);
    for (auto part = std::string(); std::getline(stream, part, ',');) {
        handles.push_back(part);
    }
    return handles;
}

/// Answers a generation with three events.
auto generate(connection& peer, const message& request, result_table& results,
              run_log& runs, const std::string& engine_id) -> bool
{
    const auto id = request.header("X-Almondtiller-Request-Id");
    const auto inputs = request.header("X-Almondtiller-Inputs");
    const auto handles = split_handles(inputs);
    const auto are_held = std::all_of(
        handles.begin(), handles.end(),
        [&results](const auto& one) { return results.exists(one); });
    if (handles.empty() || !are_held) {
        return peer.write(answer_text(handles.empty() ? 400 : 409, "",
                                      "X-Almondtiller-Not-Run: 1\r\n"
                                      "X-Almondtiller-Request-Id: " +
                                          id + "\r\n"));
    }
    runs.add({id, engine_id, "", now_ms(), inputs});
    constexpr auto first_event_ms = 500;
    constexpr auto event_ms = 50;
    sleep_ms(first_event_ms);
    peer.write("HTTP/1.1 200 OK\r\nX-Almondtiller-Request-Id: " + id +
               "\r\nX-Almondtiller-Response-Seal: s." + id +
               "\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
    for (auto number = 1; number <= 3; ++number) {
        const auto event =
            "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        peer.write(size + event + "\r\n");
        sleep_ms(event_ms);
    }
    return peer.write("0\r\n\r\n");
}

auto make_configuration() -> json
{
    auto route = make_route("drafts", "/drafts/", "streaming", "pool", 6000, 1);
    route["stages"] = {
        {{"service", "feed"}, {"after", json::array()}, {"bytes", 60000}}};
    route["targetLatencyMs"] = 1300;
    route["sticky"] = true;
    return make_config(1, {route},
                       {{{"name", "pool"},
                         {"healthPath", "/healthz"},
                         {"maxConns", 600},
                         {"coldStartS", 0.0},
                         {"coldPerS", 0.0},
                         {"engine",
                          {{"slots", 128},
                           {"kvCapacityTokens", 270000},
                           {"models", {{{"name", "m"}}}}}}},
                        {{"name", "feed"},
                         {"healthPath", "/healthz"},
                         {"maxConns", 600},
                         {"coldStartS", 0.0},
                         {"coldPerS", 0.0},
                         {"pieces",
                          {{"slots", 1},
                           {"queue", 2},
                           {"batch", 8},
                           {"callMs", 150.0},
                           {"itemMs", 16.0},
                           {"headroomMb", 43.0},
                           {"handleS", 4.0},
                           {"linkMbps", 10000}}}}},
                       json::array());
}

/// \param part The prompt part that belongs to this request alone.
auto make_headers(const std::string& part) -> std::string
{
    auto headers = std::string("X-Almondtiller-Model: m\r\n"
                               "X-Almondtiller-Token-Counts: 1000,30\r\n"
                               "X-Almondtiller-Prompt-Prefix: 5c1e07a2:800,");
    headers += part;
    headers += ":200\r\nX-Almondtiller-Pieces: 1\r\n"
               "X-Almondtiller-Piece-Key: ";
    headers += part;
    headers += "\r\n";
    return headers;
}

[[noreturn]] auto play(const std::string& record_path) -> void
{
    auto record = recorder(record_path);
    const auto folder = make_folder();
    const auto network = free_network();
    auto platform = store("127.0.0.1");
    auto runs = run_log();
    auto results = result_table();
    platform.put("config", "main", make_configuration());
    auto is_spoiling = std::atomic<bool>(false);
    auto answers = std::atomic<long>(0);
    auto engines = std::vector<std::unique_ptr<engine>>();
    auto parts = std::vector<std::unique_ptr<stage_part>>();
    for (const auto* zone : {"z-a", "z-b", "z-c"}) {
        engines.push_back(std::make_unique<engine>(
            platform, runs, "pool", zone, "127.0.0.1", 128, 0,
            [&](connection& peer, const message& request) {
                return std::optional(
                    generate(peer, request, results, runs, "pool"));
            }));
    }
    for (const auto* zone : {"z-a", "z-b", "z-c", "z-a", "z-b"}) {
        const auto is_faulty = parts.size() < spoiled_engines;
        parts.push_back(std::make_unique<stage_part>(
            results, record, [is_faulty, &is_spoiling, &answers]() {
                return is_faulty && is_spoiling &&
                       ++answers % answers_per_extra == 0;
            }));
        auto* part = parts.back().get();
        const auto index = engines.size();
        engines.push_back(std::make_unique<engine>(
            platform, runs, "feed", zone, "127.0.0.1", 1, 0,
            [part, index, &engines](connection& peer, const message& request) {
                return part->serve(peer, request, engines[index]->address());
            }));
    }
    auto nodes = start_nodes(network, platform.address(), folder);
    if (!are_ready(nodes, 10000)) {
        record.say("the nodes did not become ready");
        leave(2, folder, nodes);
    }
    auto is_over = std::atomic<bool>(false);
    auto served = std::atomic<int>(0);
    auto sent = std::atomic<int>(0);
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < 36; ++caller) {
        callers.emplace_back([&, caller]() {
            auto source = std::mt19937(unsigned(caller));
            auto pause = std::uniform_int_distribution<long>(50, 350);
            while (!is_over) {
                const auto own = random_hex().substr(0, 8);
                const auto got =
                    ask(*nodes[std::size_t(caller) % nodes.size()], "POST",
                        "/drafts/1", 6000, make_headers(own), "a prompt");
                ++sent;
                served += got.status == 200 && got.is_complete ? 1 : 0;
                record.write("request " + got.request + " sent at " +
                             std::to_string(got.sent_ms) + " status " +
                             std::to_string(got.status));
                sleep_ms(pause(source));
            }
        });
    }
    for (auto round = 0; round < spoil_count; ++round) {
        is_spoiling = has_trouble();
        sleep_ms(spoil_ms);
        is_spoiling = false;
        sleep_ms(spoil_ms);
    }
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    auto mixed = 0;
    for (const auto& item : runs.all()) {
        for (const auto& handle : split_handles(item.target)) {
            const auto owner = results.request_of(handle);
            const auto line = std::string("generation of ")
                                  .append(item.request)
                                  .append(" with ")
                                  .append(handle)
                                  .append(" made for ")
                                  .append(owner);
            record.write(line);
            if (owner != item.request) {
                ++mixed;
                record.say("MIXED: " + line);
            }
        }
    }
    record.say(std::to_string(sent) + " requests, " + std::to_string(served) +
               " served, " + std::to_string(mixed) +
               " with the inputs of another request");
    leave(mixed > 0 ? 1 : 0, folder, nodes);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        return 2;
    }
    play(argv[1]);
}
