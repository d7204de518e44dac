#include "cases.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace review {

namespace {

constexpr auto feed_engines = 20;
constexpr auto clients_per_node = 20;
/// Of the site's sheet: a call of the first stage, and a piece of it.
constexpr auto call_time = ms(150);
constexpr auto piece_time = ms(16);
constexpr auto result_life = ms(4000);
constexpr auto first_event_time = ms(450);
/// The largest dose of `garble` with "extra late" in the site file.
constexpr auto faulty_share = 0.6;
constexpr auto faulty_answers = 0.03;
constexpr auto garble_time = ms(5000);
/// The largest dose of `release` in the site file, one engine at a time.
constexpr auto released_share = 0.45;
constexpr auto release_gap = ms(750);
constexpr auto cycle_time = ms(6750);
constexpr auto cycles = 13;
/// After `draining`, an engine serves for drainMs and a little longer.
constexpr auto service_after_draining = ms(2625);

struct result_entry
{
    std::string request;
    clock::time_point expires;
};

/// What all engines of this case know.
struct shared_state
{
    std::mutex guard;
    std::map<std::string, result_entry> results;
    std::set<std::string> leaving;
    std::set<std::string> faulty;
    bool is_garbling = false;
    std::mt19937_64 random{1};
    int copies = 0;
    int foreign_inputs = 0;
    int generations = 0;

    auto make_handle(const std::string& address, const std::string& request,
                     clock::time_point expires) -> std::string
    {
        char text[24];
        std::snprintf(text, sizeof(text), "/%012llx",
                      static_cast<unsigned long long>(this->random() >> 16U));
        this->results[address + text] = {request, expires};
        return address + text;
    }
};

auto run_pieces(shared_state& state, record& log, engine& self,
                connection& caller, const message& request) -> void
{
    if (!caller.kept.empty()) {
        // The second copy of the answer before, where the next is due.
        caller.send(std::exchange(caller.kept, {}));
    }
    const auto parsed = json::parse(request.body, nullptr, false);
    const auto items = parsed.value("items", json::array());
    const auto time = call_time + piece_time * items.size();
    auto answers = json::array();
    auto text = std::string();
    {
        const auto lock = std::lock_guard(state.guard);
        for (const auto& item : items) {
            const auto id = item.value("id", std::string());
            const auto handle = state.make_handle(
                self.address(), id, clock::now() + time + result_life);
            answers.push_back({{"handle", handle}});
            text += " ";
            text += id;
            text += "=";
            text += handle;
        }
    }
    log.write("engine " + self.id() + " makes" + text);
    sleep_for(std::chrono::duration_cast<ms>(time));
    const auto lock = std::lock_guard(state.guard);
    auto headers = header_list{{"Content-Type", "application/json"},
                               {"X-Almondtiller-Engine-Load", "0,0,1"}};
    const auto is_leaving = state.leaving.contains(self.id());
    if (is_leaving) {
        headers.emplace_back("Server-Leaving", "1");
        headers.emplace_back("Connection", "close");
    }
    const auto answer =
        encode_answer(200, headers, json{{"items", answers}}.dump());
    caller.send(answer);
    if (is_leaving) {
        caller.shut();
    } else if (state.is_garbling && state.faulty.contains(self.id()) &&
               std::uniform_real_distribution<>(0, 1)(state.random) <
                   faulty_answers) {
        caller.kept = answer;
        ++state.copies;
        log.write("engine " + self.id() + " will answer a second time:" + text);
    }
}

auto free_pieces(shared_state& state, connection& caller,
                 const message& request) -> void
{
    {
        const auto lock = std::lock_guard(state.guard);
        const auto parsed = json::parse(request.body, nullptr, false);
        for (const auto& handle : parsed.value("handles", json::array())) {
            state.results.erase(handle.get<std::string>());
        }
    }
    caller.send(encode_answer(200, {}, ""));
}

/// \return Whether the request has its inputs; if not, it was turned away.
auto has_inputs(shared_state& state, record& log, const engine& self,
                connection& caller, const message& request) -> bool
{
    const auto id = request.find("X-Almondtiller-Request-Id");
    auto list = std::istringstream(request.find("X-Almondtiller-Inputs"));
    const auto lock = std::lock_guard(state.guard);
    auto status = request.has("X-Almondtiller-Inputs") ? 200 : 400;
    auto foreign = std::string();
    for (auto handle = std::string(); std::getline(list, handle, ',');) {
        const auto found = state.results.find(handle);
        if (found == state.results.end() ||
            found->second.expires < clock::now()) {
            status = 409;
        } else if (found->second.request != id) {
            foreign += " " + handle + " of " + found->second.request;
        }
    }
    if (status != 200) {
        caller.send(encode_answer(status,
                                  {{"X-Almondtiller-Request-Id", id},
                                   {"X-Almondtiller-Not-Run", "1"}},
                                  ""));
        log.write("engine " + self.id() + " turns " + id + " away with " +
                  std::to_string(status));
        return false;
    }
    ++state.generations;
    if (!foreign.empty()) {
        ++state.foreign_inputs;
        log.write("MIXED: engine " + self.id() + " runs " + id +
                  " with the input" + foreign);
    }
    return true;
}

} // namespace

/// Engines of a stage send a second copy of some answers, late, while they are
/// replaced one after the other and their number goes from 20 to 24 and back.
auto run_late_copy(record& log, bool has_trouble) -> outcome
{
    const auto folder = temporary_folder();
    auto platform = store();
    auto state = shared_state();
    const auto feed_hook = [&](engine& self, connection& caller,
                               const message& request) {
        if (request.target() == "/almondtiller/stage-run") {
            run_pieces(state, log, self, caller, request);
            return true;
        }
        if (request.target() == "/almondtiller/stage-free") {
            free_pieces(state, caller, request);
            return true;
        }
        return false;
    };
    const auto model_hook = [&](engine& self, connection& caller,
                                const message& request) {
        if (!has_inputs(state, log, self, caller, request)) {
            return true;
        }
        sleep_for(first_event_time);
        return false;
    };
    struct member
    {
        std::unique_ptr<engine> process;
        std::int64_t started = 0;
        std::optional<clock::time_point> ends;
    };
    constexpr auto first_start = std::int64_t(1700000000000);
    auto made = 0;
    auto feeds = std::vector<member>();
    const auto add_feed = [&]() {
        const auto* zones = "abc";
        char id[16];
        std::snprintf(id, sizeof(id), "i-feed-%03d", made);
        auto added = member();
        added.process = std::make_unique<engine>(
            log, id, "feed", std::string(1, zones[made % 3]), feed_hook);
        added.started = first_start + made;
        {
            const auto lock = std::lock_guard(state.guard);
            if (double(made * 3 % 5) < faulty_share * 5) {
                state.faulty.insert(id);
            }
        }
        ++made;
        platform.put("servers", id,
                     added.process->entry("ready", 1, added.started));
        feeds.push_back(std::move(added));
    };
    for (auto index = 0; index < feed_engines; ++index) {
        add_feed();
    }
    auto others = std::vector<std::unique_ptr<engine>>();
    for (const auto* zone : {"a", "b", "c"}) {
        others.push_back(std::make_unique<engine>(
            log, std::string("i-model-") + zone, "model", zone, model_hook));
        platform.put("servers", others.back()->id(),
                     others.back()->entry("ready", 1, first_start));
    }
    auto config = make_configuration(1);
    for (auto& route : config["routes"]) {
        route["timeoutMs"] = 8000;
        route["targetLatencyMs"] = 1900;
        if (route["name"] == "r-staged") {
            route["maxAttempts"] = 1;
            route["resumable"] = false;
            route["stages"][0]["bytes"] = 8000;
        }
    }
    for (auto& service : config["services"]) {
        if (service["name"] == "feed") {
            service["pieces"]["callMs"] = double(call_time.count());
            service["pieces"]["itemMs"] = double(piece_time.count());
        }
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
    sleep_for(ms(1000));

    auto is_over = std::atomic<bool>(false);
    auto served = std::atomic<int>(0);
    auto clients = std::vector<std::thread>();
    for (auto index = 0; index < clients_per_node * 3; ++index) {
        clients.emplace_back([&, index]() {
            const auto& target = *nodes[std::size_t(index) % nodes.size()];
            while (!is_over) {
                auto caller = connection::open(target.front());
                while (caller && !is_over && !caller->is_ended()) {
                    const auto id = next_id();
                    auto headers = client_headers(id, 8000);
                    headers.insert(
                        headers.end(),
                        {{"X-Almondtiller-Model", "m"},
                         {"X-Almondtiller-Token-Counts", "200,20"},
                         {"X-Almondtiller-Prompt-Prefix",
                          "5c1e07a2:100,91bd3f" + std::to_string(index) +
                              ":60," + id + ":40"},
                         {"X-Almondtiller-Pieces", "1"},
                         {"X-Almondtiller-Piece-Key", "7c1e07a291bd"},
                         {"Content-Length", "0"}});
                    log.write("client sends " + id);
                    caller->send(
                        encode("POST /staged/x HTTP/1.1", headers, ""));
                    const auto answer = caller->read_answer();
                    log.write("client gets " +
                              (answer ? std::to_string(answer->status())
                                      : std::string("no whole answer")) +
                              " for " + id);
                    if (!answer) {
                        break;
                    }
                    served += answer->status() == 200 ? 1 : 0;
                    if (answer->status() != 200) {
                        sleep_for(ms(100));
                    }
                }
            }
        });
    }
    const auto start = clock::now();
    const auto released = int(released_share * feed_engines);
    auto step = 0;
    auto next_release = start;
    while (clock::now() < start + cycles * cycle_time) {
        const auto now = clock::now();
        const auto in_cycle = (now - start) % cycle_time;
        {
            const auto lock = std::lock_guard(state.guard);
            state.is_garbling = has_trouble && in_cycle < garble_time;
        }
        const auto cycle = int((now - start) / cycle_time);
        if (has_trouble && now >= next_release && step < released) {
            ++step;
            next_release += release_gap;
            add_feed();
            const auto old =
                std::find_if(feeds.begin(), feeds.end(), [](const auto& item) {
                    return item.process && !item.ends;
                });
            {
                const auto lock = std::lock_guard(state.guard);
                state.leaving.insert(old->process->id());
            }
            platform.put("servers", old->process->id(),
                         old->process->entry("draining", 2, old->started));
            old->ends = now + service_after_draining;
        }
        if (step == released &&
            now >= start + (cycle + 1) * cycle_time - ms(50)) {
            step = 0;
            next_release = start + (cycle + 1) * cycle_time;
        }
        for (auto& item : feeds) {
            if (item.process && item.ends && *item.ends <= now) {
                platform.remove("servers", item.process->id());
                item.process.reset();
            }
        }
        sleep_for(ms(10));
    }
    is_over = true;
    for (auto& client : clients) {
        client.join();
    }
    log.write(std::to_string(served) + " requests served, " +
              std::to_string(state.generations) + " run; " +
              std::to_string(state.copies) + " answers sent twice; " +
              std::to_string(state.foreign_inputs) +
              " requests run with inputs of another request");
    nodes.clear();
    feeds.clear();
    others.clear();
    platform.stop();
    if (served == 0) {
        return outcome::could_not_run;
    }
    return state.foreign_inputs > 0 ? outcome::broken : outcome::held;
}

} // namespace review
