#pragma once

#include "gateway_world/world_caller.h"
#include "harness/process.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondtiller::soak {

/// A fault proxy of its own process.
class proxy_process
{
public:
    proxy_process(const core::endpoint& target, const std::string& folder,
                  const std::string& name);

    [[nodiscard]] auto address() const -> const core::endpoint&;
    /// \param fault JSON of the proxy's admin interface.
    auto set_fault(gateway_world::world& around, const std::string& fault)
        -> void;

private:
    harness::process process;
    core::endpoint proxied;
    core::endpoint admin;
    std::unique_ptr<http1::client_pool> pool;
};

/// A gateway process with its own proxy to the store.
class node_process
{
public:
    node_process(gateway_world::world& around, std::string folder,
                 const std::string& name, const std::string& zone);

    auto start() -> void;
    auto signal(int number) -> void;
    /// Kills it if it runs.
    auto kill() -> void;
    /// Reaps it if it has ended.
    [[nodiscard]] auto is_running() -> bool;
    [[nodiscard]] auto front() const -> const core::endpoint&;
    [[nodiscard]] auto readiness() const -> const core::endpoint&;
    [[nodiscard]] auto store_link() -> proxy_process&;
    /// \return Starts so far.
    [[nodiscard]] auto incarnation() const -> int;

    /// Keys that a request of this incarnation has shown to be in force.
    std::set<std::string> seen_keys;
    bool is_stopped = false;

private:
    std::string folder;
    proxy_process store_proxy;
    serving::node_settings settings;
    std::string settings_path;
    std::optional<harness::process> process;
    int starts = 0;
};

} // namespace almondtiller::soak
