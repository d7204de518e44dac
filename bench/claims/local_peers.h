#pragma once

#include "fleet/peer_bus.h"
#include "kernel/service.h"

#include <tbb/task_group.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace almondtiller::claims_bench {

class local_peers;

/// The nodes of this process by id. Filled before the first call.
class local_network
{
public:
    ~local_network();

    auto join(local_peers& joined) -> void;
    [[nodiscard]] auto members() const -> std::vector<fleet::member>;

    /// Calls the target's handler on another thread.
    auto call(const core::node_id& sender, const core::node_id& target,
              const std::string& topic, const std::string& body,
              fleet::peer_bus::reply_handler reply) -> void;

private:
    std::map<core::node_id, local_peers*> nodes;
    tbb::task_group tasks;
};

/// Peers that are services of other kernels in this process.
class local_peers : public kernel::service, public fleet::peer_bus
{
public:
    local_peers(local_network& network, fleet::member self);

    [[nodiscard]] auto name() const -> std::string_view override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    [[nodiscard]] auto self() const -> fleet::member override;
    [[nodiscard]] auto members() const -> std::vector<fleet::member> override;
    auto on_members_changed(members_handler handler) -> void override;
    auto call(const core::node_id& target, const std::string& topic,
              const std::string& body, core::milliseconds timeout,
              reply_handler reply) -> void override;
    auto handle(const std::string& topic, request_handler handler)
        -> void override;
    auto announce_leaving() -> void override;

    /// \return fleet_errc::unknown_topic when the topic has no handler.
    auto dispatch(const core::node_id& sender, const std::string& topic,
                  const std::string& body) -> core::result<std::string>;

private:
    local_network& network;
    fleet::member identity;
    std::map<std::string, request_handler> handlers;
};

} // namespace almondtiller::claims_bench
