#include "world.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace review {

namespace {

constexpr auto event_count = 6;

auto service_entry(const std::string& name) -> json
{
    return {{"name", name},    {"healthPath", "/healthz"},
            {"maxConns", 500}, {"protocol", "h1"},
            {"tls", false},    {"coldStartS", 0.0},
            {"coldPerS", 0.0}};
}

auto route_entry(const std::string& name, const std::string& type,
                 const std::string& service, int attempts) -> json
{
    return {{"name", "r-" + name},
            {"hostname", "api.example"},
            {"pathPrefix", "/" + name + "/"},
            {"routeType", type},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 300},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", attempts},
            {"public", false},
            {"sticky", type == "streaming"},
            {"resumable", name == "resume" || name == "staged"},
            {"targetGapMs", 500}};
}

auto event_text(const std::string& id, int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: " + id + " " +
           std::to_string(number) + "\n\n";
}

auto chunk(const std::string& bytes) -> std::string
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

record::record(const std::string& path) : file(path)
{}

auto record::write(const std::string& line) -> void
{
    const auto lock = std::lock_guard(this->guard);
    auto printable = std::string();
    for (const auto letter : line) {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte >= 0x20 && byte < 0x7f) {
            printable += letter;
        } else {
            char text[8];
            std::snprintf(text, sizeof(text), "\\x%02x", byte);
            printable += text;
        }
    }
    this->file << elapsed_ms() << " ms  " << printable << std::endl;
}

auto expected_body(const std::string& id) -> std::string
{
    return "answer to " + id;
}

auto expected_events(const std::string& id) -> std::string
{
    auto events = std::string();
    for (auto number = 1; number <= event_count; ++number) {
        events += event_text(id, number);
    }
    return events;
}

engine::engine(record& journal, std::string id, std::string service,
               std::string zone, hook special_hook)
    : log(journal),
      own_id(std::move(id)),
      own_service(std::move(service)),
      own_zone(std::move(zone)),
      special(std::move(special_hook)),
      listener([this](connection& client) { this->serve(client); })
{}

engine::~engine()
{
    this->stop();
}

auto engine::id() const -> const std::string&
{
    return this->own_id;
}

auto engine::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(this->listener.port());
}

auto engine::entry(const std::string& state, std::int64_t seq,
                   std::int64_t born) const -> json
{
    return {{"service", this->own_service},
            {"address", this->address()},
            {"zone", this->own_zone},
            {"version", "v1"},
            {"slots", 32},
            {"state", state},
            {"coldLeftMs", 0},
            {"seq", seq},
            {"born", born}};
}

auto engine::set_work_time(ms time) -> void
{
    this->work_ms = time.count();
}

auto engine::stop() -> void
{
    this->listener.stop();
}

auto engine::arrivals() const -> std::vector<arrival>
{
    const auto lock = std::lock_guard(this->guard);
    return this->seen;
}

auto engine::answer_headers(const message& request) const -> header_list
{
    const auto id = request.find("X-Almondtiller-Request-Id");
    return {{"X-Almondtiller-Request-Id", id},
            {"X-Almondtiller-Response-Seal", this->own_id + "." + id}};
}

auto engine::serve(connection& client) -> void
{
    while (const auto request = client.read_request()) {
        {
            const auto lock = std::lock_guard(this->guard);
            this->seen.push_back({elapsed_ms(), this->own_id,
                                  request->find("X-Almondtiller-Request-Id"),
                                  request->start, request->headers,
                                  request->body});
        }
        this->log.write("engine " + this->own_id + " reads " + request->start +
                        " id " + request->find("X-Almondtiller-Request-Id"));
        if (request->find("X-Almondtiller-Expect-Instance") != this->own_id) {
            if (!client.send(encode_answer(
                    421, {{"X-Almondtiller-Instance-Id", this->own_id}}, ""))) {
                return;
            }
            continue;
        }
        if (this->special && this->special(*this, client, *request)) {
            if (client.is_ended()) {
                return;
            }
            continue;
        }
        if (!this->run(client, *request)) {
            return;
        }
    }
}

auto engine::run(connection& client, const message& request) -> bool
{
    const auto target = request.target();
    if (target == "/almondtiller/stage-run") {
        return this->run_stage(client, request);
    }
    if (target == "/almondtiller/stage-free") {
        return client.send(encode_answer(200, {}, ""));
    }
    if (target == "/almondtiller/report") {
        return client.send(encode_answer(
            200, {{"Content-Type", "application/json"}},
            R"({"busy":false,"numWaiting":0,"numRunning":0,"freeMb":50})"));
    }
    if (target.starts_with("/stream/") || target.starts_with("/resume/") ||
        target.starts_with("/staged/")) {
        return this->run_stream(client, request);
    }
    sleep_for(ms(this->work_ms));
    const auto id = request.find("X-Almondtiller-Request-Id");
    auto headers = this->answer_headers(request);
    if (request.method() == "HEAD") {
        headers.emplace_back("Content-Length",
                             std::to_string(expected_body(id).size()));
        return client.send(encode("HTTP/1.1 200 OK", headers, ""));
    }
    return client.send(encode_answer(200, headers, expected_body(id)));
}

auto engine::run_stream(connection& client, const message& request) -> bool
{
    const auto id = request.find("X-Almondtiller-Request-Id");
    auto headers = this->answer_headers(request);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    if (!client.send(encode("HTTP/1.1 200 OK", headers, ""))) {
        return false;
    }
    if (request.method() == "HEAD") {
        return true;
    }
    const auto after = request.find("Last-Event-Id");
    const auto first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
    for (auto number = first; number <= event_count; ++number) {
        sleep_for(ms(this->work_ms));
        if (!client.send(chunk(event_text(id, number)))) {
            return false;
        }
    }
    return client.send("0\r\n\r\n");
}

auto engine::run_stage(connection& client, const message& request) -> bool
{
    const auto parsed = json::parse(request.body, nullptr, false);
    auto items = json::array();
    for (const auto& item : parsed.value("items", json::array())) {
        this->log.write("engine " + this->own_id + " makes a piece for " +
                        item.value("id", std::string()));
        items.push_back({{"handle", this->address() + "/" +
                                        std::to_string(++this->last_handle)}});
    }
    sleep_for(ms(this->work_ms));
    return client.send(encode_answer(200,
                                     {{"Content-Type", "application/json"}},
                                     json{{"items", items}}.dump()));
}

node::node(record& journal, const std::string& folder, std::string name,
           const std::string& zone, std::uint16_t store_port)
    : log(journal),
      own_name(std::move(name)),
      settings_path(folder + "/" + this->own_name + ".toml"),
      output_path(folder + "/" + this->own_name + ".log"),
      front_port(reserve_port()),
      ready_port(reserve_port())
{
    const auto address = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    const auto inner_port = reserve_port();
    auto file = std::ofstream(this->settings_path);
    file << "nodeName = \"" << this->own_name << "\"\n"
         << "role = \"node\"\nmachineClass = \"front\"\n"
         << "serves = [\"front\",\"directory\"]\n"
         << "ip = \"127.0.0.1\"\nzone = \"" << zone << "\"\n"
         << "region = \"r\"\ninnerPortRange = [" << inner_port << ","
         << inner_port + 1 << "]\nseeds = []\nbootstrap = true\n"
         << "faultCounted = false\ndiscovery = \"platform\"\n"
         << "entry = \"directory\"\nbeatIntervalMs = 1200\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
            "\"recover\",\"engine\",\"stream\",\"tenants\",\"places\","
            "\"platform\",\"stages\"]\n"
         << "[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n"
         << "[listen]\nfront = " << address(this->front_port)
         << "readyAddr = " << address(this->ready_port)
         << "directory = " << address(reserve_port())
         << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
            "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
         << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
         << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\n"
            "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
            "lossSlackMs = 200\nconfigApplyMs = 2000\nrevertSlackMs = 250\n"
            "maxStretchMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n"
            "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 56\n"
            "coldOverrun = 1.5\ncoldSlack = 5\nevacuateMs = 5000\n"
            "recoveryS = 12\npassMs = 120\nreuseWindowS = 7.9\n"
            "ttl_max_s = 5\n"
         << "[platform]\naddress = " << address(store_port)
         << "form = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n"
            "historyS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n";
}

node::~node()
{
    this->kill();
}

auto node::start() -> void
{
    const auto* program = std::getenv("REVIEW_NODE");
    const auto path = std::string(
        program == nullptr ? "target/bin/almondtiller_gateway" : program);
    const auto variable = "ALMONDTILLER_SETTINGS=" + this->settings_path;
    const auto* const search = std::getenv("PATH");
    const auto search_path =
        "PATH=" + std::string(search == nullptr ? "" : search);
    ++this->starts;
    const auto output = this->output_path + std::to_string(this->starts);
    this->process = fork();
    if (this->process == 0) {
        std::freopen(output.c_str(), "w", stdout);
        std::freopen((output + ".err").c_str(), "w", stderr);
        char* arguments[] = {const_cast<char*>(path.c_str()), nullptr};
        char* variables[] = {const_cast<char*>(variable.c_str()),
                             const_cast<char*>(search_path.c_str()), nullptr};
        execve(path.c_str(), arguments, variables);
        _exit(127);
    }
    this->log.write("node " + this->own_name + " starts");
}

auto node::signal(int number) -> void
{
    if (this->process > 0) {
        this->log.write("node " + this->own_name + " gets signal " +
                        std::to_string(number));
        ::kill(this->process, number);
    }
}

auto node::kill() -> void
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

auto node::ended() -> std::optional<std::string>
{
    auto status = 0;
    if (this->process <= 0 ||
        waitpid(this->process, &status, WNOHANG) != this->process) {
        return std::nullopt;
    }
    this->process = -1;
    const auto how = WIFSIGNALED(status)
                         ? "signal " + std::to_string(WTERMSIG(status))
                         : "status " + std::to_string(WEXITSTATUS(status));
    this->log.write("node " + this->own_name + " ended with " + how);
    auto errors = std::ifstream(this->output_path +
                                std::to_string(this->starts) + ".err");
    for (auto line = std::string(); std::getline(errors, line);) {
        this->log.write("node " + this->own_name + " wrote: " + line);
    }
    return how;
}

auto node::is_running() const -> bool
{
    return this->process > 0;
}

auto node::name() const -> const std::string&
{
    return this->own_name;
}

auto node::front() const -> std::uint16_t
{
    return this->front_port;
}

auto node::is_ready() const -> bool
{
    const auto caller = connection::open(this->ready_port, ms(300));
    if (!caller) {
        return false;
    }
    caller->set_read_limit(ms(1000));
    caller->send("GET /almondtiller/readyz HTTP/1.1\r\nHost: n\r\n\r\n");
    const auto answer = caller->read_answer();
    return answer && answer->status() == 200;
}

auto node::wait_ready(ms limit) const -> bool
{
    const auto end = clock::now() + limit;
    while (clock::now() < end) {
        if (this->is_ready()) {
            return true;
        }
        sleep_for(ms(50));
    }
    return false;
}

temporary_folder::temporary_folder()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    const auto* made = mkdtemp(pattern.data());
    if (made == nullptr) {
        std::perror("mkdtemp");
        std::exit(2);
    }
    this->own_path = pattern;
}

temporary_folder::~temporary_folder()
{
    auto error = std::error_code();
    const auto* keep = std::getenv("REVIEW_KEEP");
    if (keep == nullptr) {
        std::filesystem::remove_all(this->own_path, error);
    }
}

auto temporary_folder::path() const -> const std::string&
{
    return this->own_path;
}

auto make_configuration(std::int64_t version) -> json
{
    auto staged = route_entry("staged", "streaming", "model", 2);
    staged["stages"] = json::array(
        {{{"service", "feed"}, {"after", json::array()}, {"bytes", 8000}}});
    auto model = service_entry("model");
    model["engine"] = {{"slots", 32}, {"kvCapacityTokens", 266809}};
    auto feed = service_entry("feed");
    feed["pieces"] = {{"slots", 1},     {"queue", 2},
                      {"batch", 8},     {"callMs", 20.0},
                      {"itemMs", 1.0},  {"headroomMb", 44.0},
                      {"handleS", 4.0}, {"linkMbps", 10000}};
    return {{"version", version},
            {"routes",
             {route_entry("read", "idempotent", "desk", 2),
              route_entry("book", "non_idempotent", "desk", 1),
              route_entry("stream", "streaming", "model", 1),
              route_entry("resume", "streaming", "model", 2), staged}},
            {"services", {service_entry("desk"), model, feed}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "t1"}, {"apiKeys", {"key-1"}}, {"priority", 1}}}}};
}

auto next_id() -> std::string
{
    static auto last = std::atomic<std::uint64_t>(0);
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08llx", unsigned(getpid()),
                  static_cast<unsigned long long>(++last));
    return text;
}

auto client_headers(const std::string& id, int deadline_ms) -> header_list
{
    return {{"Host", "api.example"},
            {"X-Almondtiller-Request-Id", id},
            {"X-Almondtiller-Deadline-Ms", std::to_string(deadline_ms)},
            {"Authorization", "Bearer key-1"}};
}

auto staged_headers(const std::string& id, const std::string& piece_key)
    -> header_list
{
    return {{"X-Almondtiller-Model", "m"},
            {"X-Almondtiller-Token-Counts", "200,20"},
            {"X-Almondtiller-Prompt-Prefix",
             "5c1e07a2:100,91bd3f06:60," + id + ":40"},
            {"X-Almondtiller-Pieces", "2"},
            {"X-Almondtiller-Piece-Key", piece_key}};
}

} // namespace review
