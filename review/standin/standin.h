#pragma once

/// Stand-ins for the scripts of the review: the platform's store, engines,
/// callers, and the start of nodes as separate processes. Only loopback
/// addresses are used.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const auto start_time = steady::now();

inline auto now_ms() -> long
{
    return long(
        std::chrono::duration_cast<milliseconds>(steady::now() - start_time)
            .count());
}

inline auto sleep_ms(long time) -> void
{
    std::this_thread::sleep_for(milliseconds(time));
}

/// \return Whether the script runs with the disruption.
inline auto has_trouble() -> bool
{
    const auto* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

/// Writes the record of a run.
class recorder
{
public:
    explicit recorder(const std::string& path) : file(path)
    {}

    auto write(const std::string& text) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->file << now_ms() << " ms  " << text << std::endl;
    }

    /// Also prints the line.
    auto say(const std::string& text) -> void
    {
        this->write(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

struct message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// False if the connection ended before the end of the message.
    bool is_complete = false;

    [[nodiscard]] auto header(std::string_view name) const -> std::string
    {
        const auto is_same = [name](std::string_view other) {
            return std::equal(name.begin(), name.end(), other.begin(),
                              other.end(), [](char left, char right) {
                                  return std::tolower(left) ==
                                         std::tolower(right);
                              });
        };
        for (const auto& [key, value] : this->headers) {
            if (is_same(key)) {
                return value;
            }
        }
        return {};
    }
};

/// A blocking connection.
class connection
{
public:
    explicit connection(int descriptor) : socket(descriptor)
    {
        const auto on = 1;
        setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection()
    {
        if (this->socket >= 0) {
            ::close(this->socket);
        }
    }
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;

    auto write(std::string_view bytes) -> bool
    {
        while (!bytes.empty()) {
            const auto sent =
                send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(std::size_t(sent));
        }
        return true;
    }

    /// \return False at the end of the connection or after \a until.
    auto fill(steady::time_point until) -> bool
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady::now());
        auto waiting = pollfd{this->socket, POLLIN, 0};
        if (poll(&waiting, 1, int(std::max(left.count(), long(0)))) <= 0) {
            return false;
        }
        char part[16384];
        const auto size = recv(this->socket, part, sizeof part, 0);
        if (size <= 0) {
            this->has_ended = true;
            return false;
        }
        this->buffer.append(part, std::size_t(size));
        return true;
    }

    auto read(steady::time_point until) -> std::optional<message>
    {
        auto end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until)) {
                return std::nullopt;
            }
        }
        auto result = message();
        auto lines = std::istringstream(this->buffer.substr(0, end));
        auto line = std::string();
        std::getline(lines, line);
        auto first = std::istringstream(line);
        first >> result.method >> result.target;
        result.status = std::atoi(result.target.c_str());
        while (std::getline(lines, line)) {
            while (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                result.headers.emplace_back(
                    line.substr(0, colon),
                    value == std::string::npos ? "" : line.substr(value));
            }
        }
        this->buffer.erase(0, end + 4);
        result.is_complete = result.header("transfer-encoding") == "chunked"
                                 ? this->read_chunks(result.body, until)
                                 : this->read_length(result, until);
        return result;
    }

    [[nodiscard]] auto descriptor() const -> int
    {
        return this->socket;
    }

    /// Closes with a reset.
    auto reset() -> void
    {
        const auto option = linger{1, 0};
        setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        ::close(std::exchange(this->socket, -1));
    }

    [[nodiscard]] auto is_ended() const -> bool
    {
        return this->has_ended;
    }

private:
    auto read_length(message& into, steady::time_point until) -> bool
    {
        const auto size =
            std::size_t(std::atol(into.header("content-length").c_str()));
        while (this->buffer.size() < size) {
            if (!this->fill(until)) {
                return false;
            }
        }
        into.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return true;
    }

    auto read_chunks(std::string& body, steady::time_point until) -> bool
    {
        while (true) {
            auto end = std::string::npos;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(until)) {
                    return false;
                }
            }
            const auto size =
                std::strtoul(this->buffer.substr(0, end).c_str(), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->fill(until)) {
                    return false;
                }
            }
            body += this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int socket;
    std::string buffer;
    bool has_ended = false;
};

inline auto make_address(const std::string& ip, int port) -> sockaddr_in
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline auto dial(const std::string& ip, int port, long timeout_ms)
    -> std::unique_ptr<connection>
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = make_address(ip, port);
    const auto flags = fcntl(socket, F_GETFL);
    fcntl(socket, F_SETFL, flags | O_NONBLOCK);
    connect(socket, reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
    auto waiting = pollfd{socket, POLLOUT, 0};
    auto error = 0;
    auto size = socklen_t(sizeof error);
    if (poll(&waiting, 1, int(timeout_ms)) <= 0 ||
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
        ::close(socket);
        return nullptr;
    }
    fcntl(socket, F_SETFL, flags);
    return std::make_unique<connection>(socket);
}

/// A server with a thread for each connection.
class server
{
public:
    /// Returns false to close the connection.
    using handler = std::function<bool(connection&, const message&)>;

    server(const std::string& ip, int wanted_port, handler on_request)
        : handle(std::move(on_request))
    {
        this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto on = 1;
        setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = make_address(ip, wanted_port);
        if (bind(this->socket, reinterpret_cast<const sockaddr*>(&address),
                 sizeof address) != 0 ||
            listen(this->socket, 512) != 0) {
            throw std::runtime_error("cannot listen");
        }
        auto size = socklen_t(sizeof address);
        getsockname(this->socket, reinterpret_cast<sockaddr*>(&address), &size);
        this->ip = ip;
        this->port = ntohs(address.sin_port);
        std::thread([this]() { this->accept_all(); }).detach();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return this->ip + ":" + std::to_string(this->port);
    }

    /// While closed, connections are reset.
    auto set_closed(bool wanted) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->is_closed = wanted;
        if (wanted) {
            for (const auto socket : this->open) {
                shutdown(socket, SHUT_RDWR);
            }
        }
    }

private:
    auto accept_all() -> void
    {
        while (true) {
            const auto accepted =
                accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            {
                const auto lock = std::lock_guard(this->mutex);
                if (this->is_closed) {
                    connection(accepted).reset();
                    continue;
                }
                this->open.insert(accepted);
            }
            std::thread([this, accepted]() { this->serve(accepted); }).detach();
        }
    }

    auto serve(int socket) -> void
    {
        auto peer = connection(socket);
        constexpr auto idle_s = std::chrono::seconds(30);
        while (true) {
            const auto request = peer.read(steady::now() + idle_s);
            if (!request || !request->is_complete ||
                !this->handle(peer, *request)) {
                break;
            }
        }
        const auto lock = std::lock_guard(this->mutex);
        this->open.erase(socket);
    }

    handler handle;
    int socket = -1;
    std::string ip;
    int port = 0;
    std::mutex mutex;
    std::set<int> open;
    bool is_closed = false;
};

inline auto answer_text(int status, const std::string& body,
                        const std::string& headers = "") -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto query_value(const std::string& target, const std::string& key)
    -> std::string
{
    const auto query = target.find('?');
    auto at =
        query == std::string::npos ? query : target.find(key + "=", query);
    if (at == std::string::npos) {
        return {};
    }
    at += key.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

/// The platform's store.
class store
{
public:
    explicit store(const std::string& ip)
        : listener(ip, 0, [this](connection& peer, const message& request) {
              return this->on_request(peer, request);
          })
    {}

    [[nodiscard]] auto address() const -> std::string
    {
        return this->listener.address();
    }

    /// Writes an object, as the operator or an engine would.
    /// \return False while the store is away.
    auto put(const std::string& kind, const std::string& name, json spec)
        -> bool
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->is_away) {
            return false;
        }
        this->write(kind, name, std::move(spec));
        return true;
    }

    auto remove(const std::string& kind, const std::string& name) -> bool
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->is_away) {
            return false;
        }
        this->erase(kind, name);
        return true;
    }

    /// Removals by nodes are executed after this time and not answered; 0 for
    /// at once.
    auto set_removal_delay(long time_ms) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->removal_delay_ms = time_ms;
    }

    /// Keeps a copy of the present content, to which restore() returns.
    auto keep_copy() -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->copy = this->objects;
        this->copy_revision = this->revision;
    }

    auto set_away(bool wanted) -> void
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            this->is_away = wanted;
        }
        this->changed.notify_all();
        this->listener.set_closed(wanted);
    }

    /// Replaces the content by the copy. The revisions go back.
    auto restore() -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->objects = this->copy;
        this->revision = this->copy_revision;
        this->history.clear();
        this->oldest = this->revision;
        ++this->era;
    }

    [[nodiscard]] auto current_revision() -> long
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->revision;
    }

    /// \return Read calls answered, and those refused with 429.
    auto read_counts() -> std::pair<long, long>
    {
        const auto lock = std::lock_guard(this->mutex);
        return {this->reads, this->refused};
    }

    auto has(const std::string& kind, const std::string& name) -> bool
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->objects[kind].contains(name);
    }

private:
    struct change
    {
        long revision;
        std::string kind;
        json event;
    };

    auto write(const std::string& kind, const std::string& name, json spec)
        -> const json&
    {
        auto& object = this->objects[kind][name];
        if (!object.is_null() && object["spec"] == spec) {
            return object;
        }
        ++this->revision;
        const auto created = object.is_null()
                                 ? this->revision
                                 : object["metadata"]["created"].get<long>();
        object = {{"metadata",
                   {{"name", name},
                    {"revision", this->revision},
                    {"created", created},
                    {"finalizers", json::array()},
                    {"deletePending", false}}},
                  {"spec", std::move(spec)},
                  {"status", nullptr}};
        this->note(kind, object, false);
        return object;
    }

    auto erase(const std::string& kind, const std::string& name) -> void
    {
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end()) {
            return;
        }
        ++this->revision;
        auto object = found->second;
        object["metadata"]["revision"] = this->revision;
        this->objects[kind].erase(found);
        this->note(kind, object, true);
    }

    auto erase_later(const std::string& kind, const std::string& name) -> void
    {
        std::thread([this, kind, name, delay_ms = this->removal_delay_ms]() {
            sleep_ms(delay_ms);
            const auto lock = std::lock_guard(this->mutex);
            this->erase(kind, name);
        }).detach();
    }

    auto note(const std::string& kind, const json& object, bool is_removed)
        -> void
    {
        this->history.push_back(
            {this->revision,
             kind,
             {{"removed", is_removed}, {"object", object}}});
        constexpr auto max_history = std::size_t(4000);
        if (this->history.size() > max_history) {
            this->oldest = this->history.front().revision;
            this->history.pop_front();
        }
        this->changed.notify_all();
    }

    auto answer(connection& peer, int status, const json& body) -> bool
    {
        return peer.write(answer_text(status, body.dump(),
                                      "Content-Type: application/json\r\n"
                                      "Store-Era: " +
                                          std::to_string(this->era) + "\r\n"));
    }

    auto on_request(connection& peer, const message& request) -> bool
    {
        constexpr auto answer_ms = 4;
        sleep_ms(answer_ms);
        constexpr auto prefix = std::string_view("/almondtiller/objects/");
        auto path = request.target.substr(0, request.target.find('?'));
        path.erase(0, prefix.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        auto name =
            slash == std::string::npos ? std::string() : path.substr(slash + 1);
        auto lock = std::unique_lock(this->mutex);
        if (this->is_away) {
            return false;
        }
        if (request.method == "GET") {
            return this->on_read(peer, request, kind, name, lock);
        }
        if (request.method == "DELETE") {
            if (!this->objects[kind].contains(name)) {
                return this->answer(peer, 404, json::object());
            }
            if (this->removal_delay_ms > 0) {
                this->erase_later(kind, name);
                return false;
            }
            this->erase(kind, name);
            return this->answer(peer, 200, json::object());
        }
        const auto body = json::parse(request.body);
        if (request.method == "POST") {
            name = body["metadata"]["name"].get<std::string>();
            if (this->objects[kind].contains(name)) {
                return this->answer(peer, 409, this->objects[kind][name]);
            }
        } else if (!this->objects[kind].contains(name)) {
            return this->answer(peer, 404, json::object());
        }
        return this->answer(peer, 200, this->write(kind, name, body["spec"]));
    }

    auto on_read(connection& peer, const message& request,
                 const std::string& kind, const std::string& name,
                 std::unique_lock<std::mutex>& lock) -> bool
    {
        if (query_value(request.target, "staleOk").empty() &&
            !this->takes_read()) {
            ++this->refused;
            return this->answer(peer, 429, json::object());
        }
        ++this->reads;
        if (!name.empty()) {
            const auto found = this->objects[kind].find(name);
            return found == this->objects[kind].end()
                       ? this->answer(peer, 404, json::object())
                       : this->answer(peer, 200, found->second);
        }
        const auto watch = query_value(request.target, "watch");
        if (watch.empty()) {
            auto items = json::array();
            for (const auto& [key, object] : this->objects[kind]) {
                items.push_back(object);
            }
            return this->answer(peer, 200,
                                {{"items", items},
                                 {"morePages", false},
                                 {"asOf", this->revision}});
        }
        const auto since = std::atol(watch.c_str());
        const auto era_at_start = this->era;
        const auto until =
            steady::now() + milliseconds(std::atol(
                                query_value(request.target, "waitMs").c_str()));
        while (true) {
            if (this->is_away || this->era != era_at_start) {
                return false;
            }
            if (since > this->revision || since < this->oldest) {
                return this->answer(peer, 410, json::object());
            }
            auto events = json::array();
            for (const auto& item : this->history) {
                if (item.revision > since && item.kind == kind) {
                    events.push_back(item.event);
                }
            }
            if (!events.empty() || steady::now() >= until) {
                return this->answer(
                    peer, 200, {{"events", events}, {"asOf", this->revision}});
            }
            this->changed.wait_until(lock, until);
        }
    }

    /// Applies the limit of 2,000 reading calls a second.
    auto takes_read() -> bool
    {
        constexpr auto reads_per_s = 2000;
        const auto second = now_ms() / 1000;
        if (std::exchange(this->read_second, second) != second) {
            this->reads_in_second = 0;
        }
        return ++this->reads_in_second <= reads_per_s;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, json>> objects;
    std::map<std::string, std::map<std::string, json>> copy;
    std::deque<change> history;
    long revision = 100;
    long copy_revision = 100;
    long oldest = 0;
    long era = 1;
    long reads = 0;
    long refused = 0;
    long read_second = 0;
    long reads_in_second = 0;
    long removal_delay_ms = 0;
    bool is_away = false;
    /// Last member: its requests use the others.
    server listener;
};

inline auto random_hex() -> std::string
{
    static auto mutex = std::mutex();
    static auto source = std::mt19937_64(std::random_device()());
    const auto lock = std::lock_guard(mutex);
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(source()));
    return text;
}

struct run
{
    std::string request;
    std::string engine;
    std::string workspace;
    long arrived_ms;
    std::string target;
};

/// The runs that all engines of a script have begun.
class run_log
{
public:
    auto add(run entry) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->entries.push_back(std::move(entry));
    }
    auto all() -> std::vector<run>
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->entries;
    }

private:
    std::mutex mutex;
    std::vector<run> entries;
};

/// An engine of a service. It writes its entry to the store at each beat.
class engine
{
public:
    /// Returns nothing to go on as usual, else whether to keep the connection.
    using hook =
        std::function<std::optional<bool>(connection&, const message&)>;

    engine(store& platform, run_log& log, std::string service_name,
           std::string zone_name, const std::string& ip, int slot_count,
           long work_time_ms, hook special = nullptr)
        : objects(platform),
          runs(log),
          service(std::move(service_name)),
          zone(std::move(zone_name)),
          slots(slot_count),
          work_ms(work_time_ms),
          on_special(std::move(special)),
          listener(ip, 0, [this](connection& peer, const message& request) {
              return this->on_request(peer, request);
          })
    {
        std::thread([this]() {
            while (!this->is_gone) {
                this->beat();
                sleep_ms(beat_interval_ms);
            }
        }).detach();
    }

    auto beat() -> bool
    {
        return this->objects.put("servers", this->id,
                                 {{"service", this->service},
                                  {"address", this->listener.address()},
                                  {"zone", this->zone},
                                  {"version", "v1"},
                                  {"slots", this->slots},
                                  {"state", this->state.load()},
                                  {"coldLeftMs", this->cold_left_ms()},
                                  {"born", this->born},
                                  {"seq", ++this->seq}});
    }

    /// The engine is cold from now on, for a time.
    auto become_cold(long time_ms) -> bool
    {
        this->cold_until = now_ms() + time_ms;
        return this->beat();
    }

    /// Reports that the engine leaves.
    auto drain() -> bool
    {
        this->state = "draining";
        return this->beat();
    }

    /// Exits: connections are reset from now on.
    auto exit() -> void
    {
        this->is_gone = true;
        this->listener.set_closed(true);
    }

    static constexpr auto beat_interval_ms = 1200;
    const std::string id = "i-" + random_hex().substr(0, 10);

    [[nodiscard]] auto address() const -> std::string
    {
        return this->listener.address();
    }

private:
    [[nodiscard]] auto cold_left_ms() const -> long
    {
        return std::max(this->cold_until - now_ms(), 0L);
    }

    auto on_request(connection& peer, const message& request) -> bool
    {
        const auto expected = request.header("X-Almondtiller-Expect-Instance");
        if (!expected.empty() && expected != this->id) {
            return peer.write(answer_text(
                421, "", "X-Almondtiller-Instance-Id: " + this->id + "\r\n"));
        }
        if (this->on_special) {
            if (const auto keeps = this->on_special(peer, request)) {
                return *keeps;
            }
        }
        const auto request_id = request.header("X-Almondtiller-Request-Id");
        if (request_id.empty()) {
            return peer.write(
                answer_text(400, "", "X-Almondtiller-Not-Run: 1\r\n"));
        }
        this->runs.add({request_id, this->id,
                        request.header("X-Almondtiller-Tenant"), now_ms(),
                        request.target});
        sleep_ms(this->work_ms);
        if (this->is_gone) {
            return false;
        }
        return peer.write(
            answer_text(200, "result of " + request_id,
                        "X-Almondtiller-Request-Id: " + request_id +
                            "\r\nX-Almondtiller-Response-Seal: " + this->id +
                            "." + request_id + "\r\n"));
    }

    store& objects;
    run_log& runs;
    std::string service;
    std::string zone;
    int slots;
    long work_ms;
    hook on_special;
    const long born =
        long(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count());
    std::atomic<const char*> state = "ready";
    std::atomic<long> seq = 0;
    std::atomic<long> cold_until = 0;
    std::atomic<bool> is_gone = false;
    server listener;
};

/// A node of the system, started as a process of its own.
class node
{
public:
    node(std::string node_name, std::string zone_name, std::string own_ip,
         const std::string& store_address, std::filesystem::path work_folder)
        : name(std::move(node_name)),
          zone(std::move(zone_name)),
          ip(std::move(own_ip)),
          folder(std::move(work_folder))
    {
        auto file = std::ofstream(this->settings_path());
        file << "nodeName = \"" << this->name << "\"\n"
             << "role = \"node\"\nmachineClass = \"front\"\n"
             << "serves = [\"front\",\"directory\"]\n"
             << "ip = \"" << this->ip << "\"\n"
             << "zone = \"" << this->zone << "\"\n"
             << "region = \"r\"\n"
             << "innerPortRange = [" << inner_port << "," << inner_port + 15
             << "]\nbootstrap = true\ndiscovery = \"platform\"\n"
             << "entry = \"directory\"\nbeatIntervalMs = 1200\n"
             << "[zones]\nz-a = \"r\"\nz-b = \"r\"\nz-c = \"r\"\n"
             << "[listen]\nfront = \"" << this->ip << ":" << front_port
             << "\"\nreadyAddr = \"" << this->ip << ":" << ready_port
             << "\"\ndirectory = \"" << this->ip << ":" << directory_port
             << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
             << "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
             << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
             << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\n"
             << "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n"
             << "lossSlackMs = 200\nconfigApplyMs = 2000\n"
             << "revertSlackMs = 250\nmaxStretchMs = 5000\n"
             << "strictRevoke = false\nrevokeMs = 5000\n"
             << "retryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
             << "budgetExtra = 52\ncoldOverrun = 1.5\ncoldSlack = 5\n"
             << "evacuateMs = 5000\nrecoveryS = 12\npassMs = 120\n"
             << "reuseWindowS = 8.4\nttl_max_s = 5\n"
             << "[platform]\naddress = \"" << store_address
             << "\"\nform = \"objects\"\nwritesPerS = 400\n"
             << "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
             << "minTtlMs = 1000\n";
    }

    auto start() -> void
    {
        const auto settings = "ALMONDTILLER_SETTINGS=" + this->settings_path();
        const auto log = (this->folder / (this->name + ".log")).string();
        const auto program = std::string("target/bin/almondtiller_gateway");
        const auto path = std::string("PATH=/usr/bin:/bin");
        const auto child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto output =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            char* const arguments[] = {const_cast<char*>(program.c_str()),
                                       nullptr};
            char* const environment[] = {const_cast<char*>(path.c_str()),
                                         const_cast<char*>(settings.c_str()),
                                         nullptr};
            execve(program.c_str(), arguments, environment);
            _exit(127);
        }
        this->process = child;
    }

    auto signal(int number) const -> void
    {
        if (this->process > 0) {
            kill(this->process, number);
        }
    }

    /// \return Whether the process has ended; fills in its wait status.
    auto has_ended(int& status) -> bool
    {
        if (this->process > 0 &&
            waitpid(this->process, &status, WNOHANG) == this->process) {
            this->process = 0;
            return true;
        }
        return false;
    }

    auto stop() -> void
    {
        if (this->process > 0) {
            kill(this->process, SIGKILL);
            auto status = 0;
            waitpid(this->process, &status, 0);
            this->process = 0;
        }
    }

    /// \return Resident memory in units of 1,048,576 bytes.
    [[nodiscard]] auto resident_mb() const -> long
    {
        auto file =
            std::ifstream("/proc/" + std::to_string(this->process) + "/statm");
        auto size = 0L;
        auto pages = 0L;
        file >> size >> pages;
        return pages * sysconf(_SC_PAGESIZE) / 1048576;
    }

    [[nodiscard]] auto is_ready() const -> bool
    {
        const auto peer = dial(this->ip, ready_port, 300);
        if (!peer ||
            !peer->write("GET /almondtiller/readyz HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n\r\n")) {
            return false;
        }
        const auto answer = peer->read(steady::now() + milliseconds(500));
        return answer && answer->status == 200;
    }

    static constexpr auto front_port = 24625;
    static constexpr auto ready_port = 24621;
    static constexpr auto directory_port = 24620;
    static constexpr auto inner_port = 24740;
    const std::string name;
    const std::string zone;
    const std::string ip;

private:
    [[nodiscard]] auto settings_path() const -> std::string
    {
        return (this->folder / (this->name + ".toml")).string();
    }

    std::filesystem::path folder;
    pid_t process = 0;
};

/// What a caller has got.
struct outcome
{
    std::string request;
    /// 0 if the connection ended or the deadline passed without an answer.
    int status = 0;
    bool is_complete = false;
    bool was_sent = false;
    bool ended = false;
    long sent_ms = 0;
    long answered_ms = 0;
    std::string body;
    std::string retry_after;
};

/// Sends one request on a new connection.
/// \param headers Further header lines, each with its line end.
inline auto ask(const node& target, const std::string& method,
                const std::string& path, long deadline_ms,
                const std::string& headers = "", const std::string& body = "",
                std::string id = random_hex()) -> outcome
{
    auto result = outcome();
    result.request = std::move(id);
    result.sent_ms = now_ms();
    const auto until = steady::now() + milliseconds(deadline_ms);
    const auto peer = dial(target.ip, node::front_port, 1000);
    if (peer) {
        result.was_sent = peer->write(
            method + " " + path +
            " HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Almondtiller-Request-Id: " +
            result.request + "\r\nX-Almondtiller-Deadline-Ms: " +
            std::to_string(deadline_ms) + "\r\n" + headers +
            (method == "GET"
                 ? std::string()
                 : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
            "\r\n" + body);
        if (const auto answer = peer->read(until)) {
            result.status = answer->status;
            result.is_complete = answer->is_complete;
            result.body = answer->body;
            result.retry_after = answer->header("Retry-After");
        }
        result.ended = peer->is_ended();
    }
    result.answered_ms = now_ms();
    return result;
}

/// \return The first three numbers of loopback addresses that are unused.
inline auto free_network() -> std::string
{
    auto source = std::mt19937(std::random_device()());
    while (true) {
        const auto network = "127." + std::to_string(20 + source() % 200) +
                             "." + std::to_string(1 + source() % 250) + ".";
        auto is_free = true;
        for (auto host = 1; host <= 8; ++host) {
            for (const auto port :
                 {node::front_port, node::ready_port, node::directory_port,
                  node::inner_port, node::inner_port + 1}) {
                const auto socket =
                    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const auto address =
                    make_address(network + std::to_string(host), port);
                is_free =
                    is_free &&
                    bind(socket, reinterpret_cast<const sockaddr*>(&address),
                         sizeof address) == 0;
                ::close(socket);
            }
        }
        if (is_free) {
            return network;
        }
    }
}

inline auto wait_until(const std::function<bool()>& condition, long timeout_ms)
    -> bool
{
    const auto until = now_ms() + timeout_ms;
    while (!condition()) {
        if (now_ms() > until) {
            return false;
        }
        sleep_ms(50);
    }
    return true;
}

inline auto make_folder() -> std::filesystem::path
{
    auto name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(name.data());
}

/// Ends the script. Threads still use the stand-ins, so none is destroyed.
[[noreturn]] inline auto leave(int result, const std::filesystem::path& folder,
                               std::vector<std::unique_ptr<node>>& nodes)
    -> void
{
    for (const auto& one : nodes) {
        one->stop();
    }
    if (std::getenv("KEEP") == nullptr) {
        auto error = std::error_code();
        std::filesystem::remove_all(folder, error);
    }
    std::cout << "result " << result << std::endl;
    _exit(result);
}

/// Starts a node in each of three zones.
inline auto start_nodes(const std::string& network,
                        const std::string& store_address,
                        const std::filesystem::path& folder)
    -> std::vector<std::unique_ptr<node>>
{
    auto nodes = std::vector<std::unique_ptr<node>>();
    for (const auto* zone : {"z-a", "z-b", "z-c"}) {
        const auto number = std::to_string(nodes.size() + 1);
        nodes.push_back(std::make_unique<node>(
            "front-" + number, zone, network + number, store_address, folder));
        nodes.back()->start();
    }
    return nodes;
}

inline auto are_ready(const std::vector<std::unique_ptr<node>>& nodes,
                      long timeout_ms) -> bool
{
    const auto is_up = wait_until(
        [&nodes]() {
            return std::all_of(nodes.begin(), nodes.end(),
                               [](const auto& one) { return one->is_ready(); });
        },
        timeout_ms);
    // The nodes learn of each other.
    sleep_ms(1000);
    return is_up;
}

/// A route to one service.
inline auto make_route(const std::string& name, const std::string& prefix,
                       const std::string& kind, const std::string& service,
                       long timeout_ms, int max_attempts) -> json
{
    return {{"name", name},
            {"hostname", "shop.example"},
            {"pathPrefix", prefix},
            {"routeType", kind},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", 300},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", max_attempts},
            {"public", false}};
}

inline auto make_config(long version, json routes, json services, json tenants)
    -> json
{
    auto config = json{{"version", version},
                       {"routes", std::move(routes)},
                       {"services", std::move(services)},
                       {"limits",
                        {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", 4194304},
                         {"headerTimeoutMs", 3000},
                         {"idleTimeoutMs", 15000}}}};
    if (!tenants.empty()) {
        config["tenants"] = std::move(tenants);
    }
    return config;
}

} // namespace review
