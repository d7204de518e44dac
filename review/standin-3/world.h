#pragma once

#include "store.h"

#include <sys/types.h>

#include <fstream>

namespace review {

/// Writes what was sent, answered and run to the record of a case.
class record
{
public:
    explicit record(const std::string& path);
    auto write(const std::string& line) -> void;

private:
    std::mutex guard;
    std::ofstream file;
};

/// A request that an engine has read.
struct arrival
{
    std::int64_t at_ms = 0;
    std::string engine;
    std::string id;
    std::string start;
    header_list headers;
    std::string body;
};

/// Stand-in of an engine. It answers requests with their id, a seal and a body
/// that names the request; streams events on paths with "stream"; and makes
/// results of stages.
class engine
{
public:
    /// \return Whether the hook has dealt with the request itself. If not, the
    ///         engine works on it as usual.
    using hook = std::function<bool(engine&, connection&, const message&)>;

    engine(record& log, std::string id, std::string service, std::string zone,
           hook special = nullptr);
    ~engine();

    [[nodiscard]] auto id() const -> const std::string&;
    [[nodiscard]] auto address() const -> std::string;

    /// Entry in the store.
    [[nodiscard]] auto entry(const std::string& state, std::int64_t seq,
                             std::int64_t born) const -> json;
    /// Sets how long a request takes.
    auto set_work_time(ms time) -> void;
    /// Closes the listener and all connections, as a process that ends.
    auto stop() -> void;
    [[nodiscard]] auto arrivals() const -> std::vector<arrival>;

    [[nodiscard]] auto answer_headers(const message& request) const
        -> header_list;

private:
    auto serve(connection& client) -> void;
    auto run(connection& client, const message& request) -> bool;
    auto run_stream(connection& client, const message& request) -> bool;
    auto run_stage(connection& client, const message& request) -> bool;

    record& log;
    std::string own_id;
    std::string own_service;
    std::string own_zone;
    hook special;
    std::atomic<std::int64_t> work_ms = 20;
    std::atomic<std::uint64_t> last_handle = 0;
    mutable std::mutex guard;
    std::vector<arrival> seen;
    server listener;
};

/// \return The body of an engine's answer to a request that is no stream.
auto expected_body(const std::string& id) -> std::string;
/// \return The events of a stream.
auto expected_events(const std::string& id) -> std::string;

/// A process of the system.
class node
{
public:
    node(record& log, const std::string& folder, std::string name,
         const std::string& zone, std::uint16_t store_port);
    ~node();

    auto start() -> void;
    auto signal(int number) -> void;
    /// Ends the process and waits for it.
    auto kill() -> void;
    /// \return How the process ended, if it has ended since the last call.
    auto ended() -> std::optional<std::string>;
    [[nodiscard]] auto is_running() const -> bool;

    [[nodiscard]] auto name() const -> const std::string&;
    [[nodiscard]] auto front() const -> std::uint16_t;
    [[nodiscard]] auto is_ready() const -> bool;
    auto wait_ready(ms limit = ms(10000)) const -> bool;

private:
    record& log;
    std::string own_name;
    std::string settings_path;
    std::string output_path;
    std::uint16_t front_port;
    std::uint16_t ready_port;
    pid_t process = -1;
    int starts = 0;
};

/// A temporary folder that is removed with its files.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    [[nodiscard]] auto path() const -> const std::string&;

private:
    std::string own_path;
};

/// \return A configuration with the routes "/read/", "/book/", "/stream/",
///         "/resume/" and "/staged/" of the host api.example, with the key
///         "key-1" of the tenant "t1".
auto make_configuration(std::int64_t version) -> json;

/// \return Headers of a request that a client sends.
auto client_headers(const std::string& id, int deadline_ms) -> header_list;

/// \return Headers that requests on "/staged/" have besides.
auto staged_headers(const std::string& id, const std::string& piece_key)
    -> header_list;

/// \return An id that no other request of this run has.
auto next_id() -> std::string;

} // namespace review
