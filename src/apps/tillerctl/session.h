#pragma once

#include "core/clock.h"
#include "fleet/config_publisher.h"
#include "platform/http_object_store.h"
#include "tillerctl/exit_status.h"
#include "tillerctl/invocation.h"

#include <optional>
#include <string>

namespace almondtiller::tillerctl {

/// The connection to the platform that a command works with.
class session
{
public:
    session(const invocation& call, terminal& io);

    /// \return False, after one line to err, when --platform is missing.
    [[nodiscard]] auto has_platform() const -> bool;

    /// Reads the configuration; reports a failure to err.
    auto read_config() -> std::optional<fleet::stored_config>;

    /// Finds a node's address: IP:PORT as it is, else by the id in the
    /// platform's instance list, else --node. Reports a failure to err.
    auto node_address(const std::string& id_or_address)
        -> std::optional<std::string>;

    /// Reports one failure to err.
    auto report(const std::string& what, const std::error_code& error) -> void;

    core::runtime_clock clock;
    platform::http_object_store store;
    fleet::config_publisher publisher;

private:
    const invocation& call;
    terminal& io;
};

} // namespace almondtiller::tillerctl
