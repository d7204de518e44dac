#pragma once

#include "net.h"
#include "store.h"

#include <sys/types.h>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

/// A process of the system, started with the command of the deploy file.
class node_process
{
public:
    node_process(std::string node_name, const std::string& node_zone,
                 std::uint16_t store_port, std::string where);
    ~node_process();
    node_process(const node_process&) = delete;
    auto operator=(const node_process&) -> node_process& = delete;

    auto start() -> void;
    auto signal(int number) -> void;
    /// \return Whether the process runs. Collects its exit status otherwise.
    auto is_running() -> bool;
    /// Text on how the process ended.
    [[nodiscard]] auto end_text() const -> std::string;
    /// \return Whether the readiness check is answered with 200.
    [[nodiscard]] auto is_ready() const -> bool;
    /// Largest memory in use so far and now, in kilobytes.
    [[nodiscard]] auto memory_kb(const std::string& field) const -> long;
    [[nodiscard]] auto front() const -> std::uint16_t;
    [[nodiscard]] auto name() const -> const std::string&;
    [[nodiscard]] auto starts() const -> int;

private:
    std::string own_name;
    std::string folder;
    std::string settings_path;
    std::uint16_t front_port;
    std::uint16_t ready_port;
    pid_t process = -1;
    int status = 0;
    int start_count = 0;
};

/// What engines have seen.
class journal
{
public:
    explicit journal(record& lines);
    /// An engine begins to work on a request.
    auto on_run(const std::string& request, const std::string& engine) -> void;
    auto on_arrival(const std::string& request, const std::string& engine)
        -> void;
    [[nodiscard]] auto runs(const std::string& request) -> int;
    [[nodiscard]] auto arrivals(const std::string& request) -> int;
    /// \return Requests that ran more than once.
    [[nodiscard]] auto run_twice() -> std::vector<std::string>;
    [[nodiscard]] auto total_runs() -> std::size_t;

private:
    std::mutex mutex;
    record& out;
    std::map<std::string, int> run_counts;
    std::map<std::string, int> arrival_counts;
};

/// Results of stages, which end with the engine that holds them.
class result_registry
{
public:
    auto add(const std::string& engine, std::uint16_t port) -> std::string;
    auto free(const std::string& handle) -> void;
    auto drop_engine(const std::string& engine) -> std::size_t;
    [[nodiscard]] auto has(const std::string& handle) -> bool;
    [[nodiscard]] auto held_by(const std::string& engine) -> std::size_t;

private:
    std::mutex mutex;
    std::map<std::string, std::string> engine_of;
    std::uint64_t last = 0;
};

class world;

/// An engine with its entry in the store.
struct engine
{
    std::string id;
    std::string service;
    std::string zone;
    std::unique_ptr<server> listener;
    /// Work of a stage engine: one call at a time.
    std::mutex slot;
    std::int64_t born = 1;
    std::int64_t sequence = 0;
    /// Whether it sends some answers that reject a request twice.
    std::atomic<bool> doubles_rejection{false};
    std::atomic<int> answers{0};
};

/// The platform, the engines and the nodes of a small deployment.
class world
{
public:
    world(const std::string& record_path, int nodes);
    world(const world&) = delete;
    auto operator=(const world&) -> world& = delete;

    /// Ends all processes and removes the temporary folder. The world itself
    /// stays, because threads of engines may still use it.
    auto finish() -> void;

    using behaviour = std::function<void(world&, engine&, connection&)>;
    auto add_engine(const std::string& id, const std::string& service,
                    const std::string& zone, int slots, const behaviour& serves)
        -> engine&;
    auto register_engine(engine& one, const std::string& state, int slots)
        -> void;
    /// The engine ends without notice. Its results end with it.
    auto crash(engine& one) -> std::size_t;
    auto put_config(const std::string& routes, const std::string& services)
        -> void;
    auto start_nodes() -> bool;
    auto wait_ready(milliseconds longest) -> bool;

    record out;
    store platform;
    journal seen;
    result_registry results;
    std::map<std::string, std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<node_process>> nodes;
    std::string folder;
    /// How many answers may still be sent twice.
    std::atomic<int> copies_left{0};

private:
    int config_version = 0;
};

/// What a client got.
struct outcome
{
    /// 0 if the connection ended without an answer.
    int status = 0;
    bool is_complete = false;
    /// Whether the connection had served a request before.
    bool was_kept = false;
    /// Whether the node has closed the connection without an answer.
    bool is_closed = false;
    message answer;
};

/// A client that keeps its connection to a node.
class client
{
public:
    client(world& shared, node_process& served_by);
    /// Sends a request and waits for its answer. Both go into the record.
    auto send(const message& request, milliseconds deadline) -> outcome;

private:
    auto exchange(const message& request, milliseconds deadline) -> outcome;

    world& around;
    node_process& node;
    std::unique_ptr<connection> open;
};

/// \return A request of a client, with the key of the one tenant.
[[nodiscard]] auto make_request(const std::string& path, const std::string& id,
                                milliseconds deadline, const std::string& body)
    -> message;
[[nodiscard]] auto request_text(const message& request) -> std::string;
[[nodiscard]] auto new_request_id() -> std::string;

/// Behaviours of sound engines.
auto answer_plain(world& around, engine& self, const message& request,
                  connection& caller, milliseconds work) -> void;
auto serve_plain(world& around, engine& self, connection& caller,
                 milliseconds work) -> void;
auto serve_stage(world& around, engine& self, connection& caller,
                 milliseconds call, milliseconds item) -> void;
auto serve_model(world& around, engine& self, connection& caller,
                 milliseconds prefill, int events, milliseconds gap) -> void;

auto sleep_for(milliseconds time) -> void;

} // namespace review
