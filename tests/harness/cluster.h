#pragma once

#include "core/clock.h"
#include "harness/caller.h"
#include "harness/http_call.h"
#include "harness/process.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::harness {

/// A pool of stand-ins, spread over the zones in turn.
struct pool_plan
{
    std::string pool;
    std::uint32_t count = 1;
    /// fake_engine or fake_service.
    std::string program = "fake_service";
    std::vector<std::string> flags;
    /// Whether a fault proxy stands before each member.
    bool behind_proxy = false;
};

/// What a cluster is made of.
struct cluster_plan
{
    std::string region = "cantabrico";
    std::vector<std::string> zones;
    std::vector<pool_plan> pools;
    std::uint32_t nodes = 6;
    /// Folder of declarations, below the project's root.
    std::string declarations = "examples/grua-norte";
    core::milliseconds list_lag{100};
    /// Whether a fault proxy stands between the nodes and the platform.
    bool platform_behind_proxy = false;
    std::vector<std::string> platform_flags;
};

/// A stand-in for an upstream, and the proxy before it if there is one.
struct upstream_process
{
    std::string id;
    std::string pool;
    std::string zone;
    std::string address;       ///< Where nodes connect.
    std::string admin_address; ///< Of the stand-in itself.
    std::string proxy_admin;
    std::string journal_path;
    bool leaving = false;
    std::unique_ptr<process> program;
    std::unique_ptr<process> proxy;
};

struct node_process
{
    std::string id;
    std::string zone;
    std::string address;
    std::string peer_address;
    bool leaving = false;
    std::unique_ptr<process> program;
};

/// Stand-ins and nodes as real processes on this machine. Not thread-safe,
/// but for what is const.
class cluster
{
public:
    /// Starts the platform and the upstreams, declares the settings, and
    /// starts the nodes.
    explicit cluster(cluster_plan plan);
    ~cluster();
    cluster(const cluster&) = delete;
    auto operator=(const cluster&) -> cluster& = delete;

    /// Waits until every node says that it may get work.
    auto wait_until_ready(core::milliseconds bound = default_bound) const
        -> bool;

    /// Waits until each node has answered \a request whole, under markers
    /// and keys of its own.
    auto wait_until_serving(const call_request& request,
                            core::milliseconds bound = default_bound) const
        -> bool;

    /// Starts another node and lists it.
    auto add_node(const std::string& zone) -> node_process&;
    /// Starts a new instance of an upstream that has ended, at the address
    /// of the old one.
    auto restart_upstream(upstream_process& upstream) -> void;
    /// Tells the platform which instances there are.
    auto publish_instances() -> void;
    /// Drops ended nodes from the list.
    auto forget_ended_nodes() -> void;

    /// Takes a zone out or back in.
    /// \return Whether the change was accepted.
    auto set_zone(const std::string& zone, bool is_in) const -> bool;

    auto set_platform_fault(const std::string& json) const -> void;

    [[nodiscard]] auto nodes() -> std::vector<node_process>&;
    [[nodiscard]] auto upstreams() -> std::vector<upstream_process>&;
    [[nodiscard]] auto pool(const std::string& name)
        -> std::vector<upstream_process*>;
    [[nodiscard]] auto node_addresses() const -> std::vector<std::string>;
    [[nodiscard]] auto platform_address() const -> const std::string&;
    [[nodiscard]] auto folder() const -> const std::string&;

    /// \return The paths of the journals of a pool; of all pools for "".
    [[nodiscard]] auto journals(const std::string& pool = "") const
        -> std::vector<std::string>;

    /// Stops every node by SIGTERM.
    /// \return Whether all ended with status 0 within the bound.
    auto stop_nodes(core::milliseconds bound = default_bound) -> bool;

private:
    auto start_platform() -> void;
    auto start_pool(const pool_plan& plan) -> void;
    auto start_upstream(upstream_process& upstream, const pool_plan& plan,
                        const std::string& listen) -> void;
    auto start_proxy(const std::string& name, const std::string& target,
                     std::string& address, std::string& admin)
        -> std::unique_ptr<process>;
    auto declare() -> void;
    [[nodiscard]] auto log_path(const std::string& name) const -> std::string;

    cluster_plan plan;
    std::string scratch;
    std::unique_ptr<process> platform;
    std::unique_ptr<process> platform_proxy;
    std::string direct_platform_address;
    std::string nodes_platform_address;
    std::string platform_proxy_admin;
    std::vector<upstream_process> upstream_list;
    std::vector<node_process> node_list;
    std::uint32_t started_nodes = 0;
};

} // namespace almondtiller::harness
