#include "world.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace review {

namespace {

using json = nlohmann::json;

constexpr auto api_key = "9dnn2ctnfzs989anu6ws";
constexpr auto host = "pule25.example";
constexpr auto tenant = "bozi300";

auto in_quotes(const std::string& text) -> std::string
{
    return "\"" + text + "\"\n";
}

auto address(std::uint16_t port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

auto own_headers(const message& request)
    -> std::vector<std::pair<std::string, std::string>>
{
    return {{"X-Almondtiller-Request-Id",
             request.header("X-Almondtiller-Request-Id")}};
}

auto answer_to(const engine& self, const message& request) -> std::string
{
    const auto id = request.header("X-Almondtiller-Request-Id");
    return "answer of " + self.id + " to " + id;
}

/// \return Whether the request was refused because it names another engine.
auto is_misdirected(engine& self, const message& request, connection& caller)
    -> bool
{
    const auto expected = request.header("X-Almondtiller-Expect-Instance");
    if (expected.empty() || expected == self.id) {
        return false;
    }
    auto headers = own_headers(request);
    headers.emplace_back("X-Almondtiller-Instance-Id", self.id);
    caller.write(answer_text(421, headers, ""));
    return true;
}

} // namespace

auto sleep_for(milliseconds time) -> void
{
    std::this_thread::sleep_for(time);
}

node_process::node_process(std::string node_name, const std::string& node_zone,
                           std::uint16_t store_port, std::string where)
    : own_name(std::move(node_name)),
      folder(std::move(where)),
      settings_path(this->folder + "/" + this->own_name + ".toml"),
      front_port(free_port()),
      ready_port(free_port())
{
    const auto peers = free_port();
    std::ofstream(this->settings_path)
        << "nodeName = " << in_quotes(this->own_name)
        << "role = \"node\"\nmachineClass = \"front\"\n"
        << "serves = [\"front\",\"directory\"]\nip = \"127.0.0.1\"\n"
        << "zone = " << in_quotes(node_zone) << "region = \"cantabrico\"\n"
        << "innerPortRange = [" << peers << "," << peers + 15 << "]\n"
        << "seeds = []\nbootstrap = true\nfaultCounted = false\n"
        << "discovery = \"platform\"\nentry = \"directory\"\n"
        << "beatIntervalMs = 1200\n"
        << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
           "\"recover\",\"engine\",\"stream\",\"tenants\",\"places\","
           "\"platform\",\"stages\"]\n"
        << "[listen]\nfront = " << in_quotes(address(this->front_port))
        << "readyAddr = " << in_quotes(address(this->ready_port))
        << "directory = " << in_quotes(address(free_port()))
        << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
           "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
        << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
        << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\n"
           "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
           "lossSlackMs = 200\nconfigApplyMs = 2000\nrevertSlackMs = 250\n"
           "maxStretchMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n"
           "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 52\n"
           "coldOverrun = 1.5\ncoldSlack = 5\nevacuateMs = 5000\n"
           "recoveryS = 12\npassMs = 120\nreuseWindowS = 8.4\nttl_max_s = 5\n"
        << "[platform]\naddress = " << in_quotes(address(store_port))
        << "form = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n"
           "historyS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n";
}

node_process::~node_process()
{
    this->signal(SIGCONT);
    this->signal(SIGKILL);
    while (this->is_running()) {
        sleep_for(milliseconds(5));
    }
}

auto node_process::start() -> void
{
    ++this->start_count;
    const auto log = this->folder + "/" + this->own_name + "-" +
                     std::to_string(this->start_count) + ".log";
    const auto child = fork();
    if (child == 0) {
        // The process ends with this program.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        constexpr auto max_descriptors = rlim_t(4100);
        auto descriptors = rlimit();
        getrlimit(RLIMIT_NOFILE, &descriptors);
        descriptors.rlim_cur = std::min(descriptors.rlim_max, max_descriptors);
        setrlimit(RLIMIT_NOFILE, &descriptors);
        const auto target =
            open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(target, STDOUT_FILENO);
        dup2(target, STDERR_FILENO);
        setenv("ALMONDTILLER_SETTINGS", this->settings_path.c_str(), 1);
        execl("target/bin/almondtiller_gateway",
              "target/bin/almondtiller_gateway", nullptr);
        _exit(127);
    }
    this->process = child;
}

auto node_process::signal(int number) -> void
{
    if (this->process > 0) {
        kill(this->process, number);
    }
}

auto node_process::is_running() -> bool
{
    if (this->process <= 0) {
        return false;
    }
    if (waitpid(this->process, &this->status, WNOHANG) == this->process) {
        this->process = -1;
        return false;
    }
    return true;
}

auto node_process::end_text() const -> std::string
{
    if (WIFSIGNALED(this->status)) {
        return "ended by signal " + std::to_string(WTERMSIG(this->status));
    }
    return "exit status " + std::to_string(WEXITSTATUS(this->status));
}

auto node_process::is_ready() const -> bool
{
    const auto asked = connection::open(this->ready_port);
    if (!asked) {
        return false;
    }
    asked->set_timeout(milliseconds(1000));
    asked->write("GET /almondtiller/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto answer = asked->read_message();
    return answer && answer->status() == 200;
}

auto node_process::memory_kb(const std::string& field) const -> long
{
    auto lines =
        std::ifstream("/proc/" + std::to_string(this->process) + "/status");
    auto line = std::string();
    while (std::getline(lines, line)) {
        if (line.starts_with(field + ":")) {
            return std::atol(line.c_str() + field.size() + 1);
        }
    }
    return 0;
}

auto node_process::front() const -> std::uint16_t
{
    return this->front_port;
}

auto node_process::name() const -> const std::string&
{
    return this->own_name;
}

auto node_process::starts() const -> int
{
    return this->start_count;
}

journal::journal(record& lines) : out(lines)
{}

auto journal::on_run(const std::string& request, const std::string& engine)
    -> void
{
    auto count = 0;
    {
        const auto lock = std::lock_guard(this->mutex);
        count = ++this->run_counts[request];
    }
    this->out.line("run " + request + " at " + engine +
                   (count > 1 ? ", time " + std::to_string(count) : ""));
}

auto journal::on_arrival(const std::string& request, const std::string&) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    ++this->arrival_counts[request];
}

auto journal::runs(const std::string& request) -> int
{
    const auto lock = std::lock_guard(this->mutex);
    const auto found = this->run_counts.find(request);
    return found == this->run_counts.end() ? 0 : found->second;
}

auto journal::arrivals(const std::string& request) -> int
{
    const auto lock = std::lock_guard(this->mutex);
    const auto found = this->arrival_counts.find(request);
    return found == this->arrival_counts.end() ? 0 : found->second;
}

auto journal::run_twice() -> std::vector<std::string>
{
    const auto lock = std::lock_guard(this->mutex);
    auto twice = std::vector<std::string>();
    for (const auto& [request, count] : this->run_counts) {
        if (count > 1) {
            twice.push_back(request);
        }
    }
    return twice;
}

auto journal::total_runs() -> std::size_t
{
    const auto lock = std::lock_guard(this->mutex);
    return this->run_counts.size();
}

auto result_registry::add(const std::string& engine, std::uint16_t port)
    -> std::string
{
    const auto lock = std::lock_guard(this->mutex);
    auto text = std::ostringstream();
    text << address(port) << "/" << std::hex << 0x91bd3f00 + ++this->last;
    this->engine_of[text.str()] = engine;
    return text.str();
}

auto result_registry::free(const std::string& handle) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->engine_of.erase(handle);
}

auto result_registry::drop_engine(const std::string& engine) -> std::size_t
{
    const auto lock = std::lock_guard(this->mutex);
    return std::erase_if(this->engine_of, [&engine](const auto& item) {
        return item.second == engine;
    });
}

auto result_registry::has(const std::string& handle) -> bool
{
    const auto lock = std::lock_guard(this->mutex);
    return this->engine_of.contains(handle);
}

auto result_registry::held_by(const std::string& engine) -> std::size_t
{
    const auto lock = std::lock_guard(this->mutex);
    auto held = std::size_t(0);
    for (const auto& [handle, holder] : this->engine_of) {
        held += holder == engine ? 1 : 0;
    }
    return held;
}

world::world(const std::string& record_path, int node_count)
    : out(record_path), seen(this->out)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto path = std::filesystem::temp_directory_path().string() +
                "/almondtiller-review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) {
        std::exit(2);
    }
    this->folder = path;
    for (auto index = 0; index < node_count; ++index) {
        const auto zone = std::string("cant-") + char('a' + index % 3);
        this->nodes.push_back(std::make_unique<node_process>(
            "front-" + zone + "-" + std::to_string(index + 1), zone,
            this->platform.port(), this->folder));
    }
}

auto world::finish() -> void
{
    this->nodes.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->folder);
    }
}

auto world::add_engine(const std::string& id, const std::string& service,
                       const std::string& zone, int slots,
                       const behaviour& serves) -> engine&
{
    auto& made = this->engines[id];
    made = std::make_unique<engine>();
    auto& one = *made;
    one.id = id;
    one.service = service;
    one.zone = zone;
    one.listener =
        std::make_unique<server>([this, &one, serves](connection& caller) {
            serves(*this, one, caller);
        });
    this->register_engine(one, "ready", slots);
    return one;
}

auto world::register_engine(engine& one, const std::string& state, int slots)
    -> void
{
    this->platform.put("servers", one.id,
                       json{{"service", one.service},
                            {"address", address(one.listener->port())},
                            {"zone", one.zone},
                            {"version", "v1"},
                            {"slots", slots},
                            {"state", state},
                            {"coldLeftMs", 0},
                            {"born", one.born},
                            {"seq", ++one.sequence}}
                           .dump());
}

auto world::crash(engine& one) -> std::size_t
{
    one.listener->stop();
    return this->results.drop_engine(one.id);
}

auto world::put_config(const std::string& routes, const std::string& services)
    -> void
{
    this->config_version += 3;
    this->platform.put(
        "config", "main",
        R"({"version":)" + std::to_string(this->config_version) +
            R"(,"routes":)" + routes + R"(,"services":)" + services +
            R"(,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
            R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
            R"("tenants":[{"name":")" +
            tenant + R"(","apiKeys":[")" + api_key + R"("]}]})");
}

auto world::start_nodes() -> bool
{
    for (const auto& one : this->nodes) {
        one->start();
    }
    return this->wait_ready(milliseconds(10000));
}

auto world::wait_ready(milliseconds longest) -> bool
{
    const auto end = clock::now() + longest;
    for (const auto& one : this->nodes) {
        while (!one->is_ready()) {
            if (clock::now() > end) {
                return false;
            }
            sleep_for(milliseconds(20));
        }
    }
    // The nodes learn of each other and choose owners.
    sleep_for(milliseconds(2000));
    return true;
}

client::client(world& shared, node_process& served_by)
    : around(shared), node(served_by)
{}

auto client::send(const message& request, milliseconds deadline) -> outcome
{
    const auto id = request.header("X-Almondtiller-Request-Id");
    this->around.out.line("sent " + id + " to " + this->node.name());
    auto got = this->exchange(request, deadline);
    this->around.out.line(
        "answered " + id + ": " +
        (got.status == 0 ? "connection closed" : std::to_string(got.status)) +
        (got.status != 0 && !got.is_complete ? ", cut off" : ""));
    return got;
}

auto client::exchange(const message& request, milliseconds deadline) -> outcome
{
    auto got = outcome();
    if (!this->open || this->open->is_closed_by_peer()) {
        this->open = connection::open(this->node.front());
    } else {
        got.was_kept = true;
    }
    if (!this->open) {
        return got;
    }
    this->open->set_timeout(deadline);
    if (!this->open->write(request_text(request))) {
        this->open.reset();
        return got;
    }
    auto head = this->open->read_head();
    if (!head) {
        got.is_closed = this->open->is_closed_by_peer();
        this->open.reset();
        return got;
    }
    got.status = head->status();
    got.is_complete = this->open->read_body(*head, head->body);
    got.answer = *head;
    if (!got.is_complete || head->header("connection") == "close") {
        this->open.reset();
    }
    return got;
}

auto make_request(const std::string& path, const std::string& id,
                  milliseconds deadline, const std::string& body) -> message
{
    auto request = message();
    request.start = "POST " + path + " HTTP/1.1";
    request.headers = {
        {"Host", host},
        {"X-Almondtiller-Request-Id", id},
        {"X-Almondtiller-Deadline-Ms", std::to_string(deadline.count())},
        {"Authorization", std::string("Bearer ") + api_key}};
    request.body = body;
    return request;
}

auto request_text(const message& request) -> std::string
{
    auto text = request.start + "\r\n";
    for (const auto& [key, value] : request.headers) {
        text.append(key).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(request.body.size()) +
           "\r\n\r\n" + request.body;
}

auto new_request_id() -> std::string
{
    static auto mutex = std::mutex();
    static auto source = std::mt19937_64(std::random_device()());
    const auto lock = std::lock_guard(mutex);
    auto text = std::array<char, 17>();
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(source()));
    return text.data();
}

auto answer_plain(world& around, engine& self, const message& request,
                  connection& caller, milliseconds work) -> void
{
    if (is_misdirected(self, request, caller)) {
        return;
    }
    const auto id = request.header("X-Almondtiller-Request-Id");
    around.seen.on_arrival(id, self.id);
    around.seen.on_run(id, self.id);
    sleep_for(work);
    if (caller.is_closed_by_peer()) {
        return;
    }
    auto headers = own_headers(request);
    headers.emplace_back("X-Almondtiller-Response-Seal", "3e1b.07." + id);
    ++self.answers;
    caller.write(answer_text(200, headers, answer_to(self, request)));
}

auto serve_plain(world& around, engine& self, connection& caller,
                 milliseconds work) -> void
{
    while (const auto request = caller.read_message()) {
        answer_plain(around, self, *request, caller, work);
    }
}

auto serve_stage(world& around, engine& self, connection& caller,
                 milliseconds call, milliseconds item) -> void
{
    while (const auto request = caller.read_message()) {
        if (is_misdirected(self, *request, caller)) {
            continue;
        }
        const auto content_type = std::pair<std::string, std::string>(
            "Content-Type", "application/json");
        if (request->target() == "/almondtiller/stage-free") {
            const auto body = json::parse(request->body, nullptr, false);
            for (const auto& handle : body.value("handles", json::array())) {
                around.results.free(handle.get<std::string>());
            }
            caller.write(answer_text(200, {content_type}, "{}"));
            continue;
        }
        if (request->target() != "/almondtiller/stage-run") {
            caller.write(
                answer_text(200, {content_type},
                            R"({"numWaiting":0,"busy":false,"freeMb":40.0})"));
            continue;
        }
        const auto body = json::parse(request->body, nullptr, false);
        const auto items = body.is_object() ? body.value("items", json::array())
                                            : json::array();
        const auto lock = std::lock_guard(self.slot);
        auto inputs_present = std::vector<bool>();
        for (const auto& one : items) {
            auto present = true;
            for (const auto& input : one.value("inputs", json::array())) {
                present =
                    present && around.results.has(input.get<std::string>());
            }
            inputs_present.push_back(present);
        }
        sleep_for(call + item * int(items.size()));
        auto made = json::array();
        for (auto index = std::size_t(0); index < items.size(); ++index) {
            made.push_back(
                inputs_present[index]
                    ? json{{"handle",
                            around.results.add(self.id, self.listener->port())}}
                    : json{{"reason", "gone"}});
        }
        if (!caller.write(answer_text(
                200, {content_type, {"X-Almondtiller-Engine-Load", "0,0,1"}},
                json{{"items", made}}.dump()))) {
            return;
        }
    }
}

auto serve_model(world& around, engine& self, connection& caller,
                 milliseconds prefill, int events, milliseconds gap) -> void
{
    auto doubled = std::string();
    while (const auto request = caller.read_message()) {
        if (!doubled.empty()) {
            // A second copy of an earlier answer, which comes where the next
            // answer is due.
            around.out.line(self.id + " sends the second copy of a 409 when " +
                            request->header("X-Almondtiller-Request-Id") +
                            " comes");
            caller.write(std::exchange(doubled, {}));
        }
        if (is_misdirected(self, *request, caller)) {
            continue;
        }
        const auto id = request->header("X-Almondtiller-Request-Id");
        around.seen.on_arrival(id, self.id);
        if (around.seen.arrivals(id) > 1) {
            around.out.line(id + " arrives again, at " + self.id);
        }
        auto inputs =
            std::istringstream(request->header("X-Almondtiller-Inputs"));
        auto handle = std::string();
        auto are_present = true;
        while (std::getline(inputs, handle, ',')) {
            are_present = are_present && around.results.has(handle);
        }
        if (!are_present) {
            auto headers = own_headers(*request);
            headers.emplace_back("X-Almondtiller-Not-Run", "1");
            const auto rejection = answer_text(409, headers, "");
            ++self.answers;
            if (self.doubles_rejection && around.copies_left-- > 0) {
                doubled = rejection;
            }
            around.out.line(self.id + " answers " + id +
                            " with 409, as an input is gone" +
                            (doubled.empty() ? "" : "; a copy will follow"));
            caller.write(rejection);
            continue;
        }
        sleep_for(prefill);
        if (caller.is_closed_by_peer()) {
            continue;
        }
        around.seen.on_run(id, self.id);
        ++self.answers;
        auto text = std::string("HTTP/1.1 200 OK\r\n"
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n"
                                "X-Almondtiller-Request-Id: ");
        text.append(id).append("\r\nX-Almondtiller-Response-Seal: 3e1b.07.");
        text.append(id).append("\r\n\r\n");
        auto is_open = caller.write(text);
        for (auto number = 1; is_open && number <= events; ++number) {
            const auto event = "id: " + std::to_string(number) +
                               "\ndata: " + id + "-" + std::to_string(number) +
                               "\n\n";
            auto piece = std::ostringstream();
            piece << std::hex << event.size() << "\r\n" << event << "\r\n";
            is_open = caller.write(piece.str());
            sleep_for(gap);
        }
        if (!is_open || !caller.write("0\r\n\r\n")) {
            return;
        }
    }
}

} // namespace review
