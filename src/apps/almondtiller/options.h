#pragma once

#include "core/result.h"
#include "fleet/member.h"

#include <string>

namespace almondtiller {

/// What a node is told on its command line and in its environment.
struct node_options
{
    fleet::member identity;
    std::string listen_address; ///< IP number for callers.
    int listen_port = 0;
    std::string peer_address; ///< IP number for peers.
    int peer_port = 0;
    std::string advertise; ///< IP number told to callers and peers.
    std::string platform;  ///< IP and port of the platform's API.
    std::string log_format = "text";
    std::size_t max_connections = 1024;

    auto operator==(const node_options&) const -> bool = default;
};

/// The outcome of reading the options: settings to run with, or a text to
/// print and the status to exit with.
struct parsed_options
{
    node_options options;
    bool run = false;
    std::string text; ///< For stdout when the status is 0, else for stderr.
    int exit_status = 0;
};

/// The exit status for options that are not accepted.
constexpr auto usage_exit_status = 2;

/// Reads flags and the variables ALMONDTILLER_*; flags go first.
[[nodiscard]] auto parse_options(int argc, const char* const* argv)
    -> parsed_options;

} // namespace almondtiller
