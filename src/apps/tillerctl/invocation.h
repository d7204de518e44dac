#pragma once

#include "core/clock.h"

#include <ostream>
#include <string>
#include <vector>

namespace almondtiller::tillerctl {

enum class output_format
{
    table,
    json,
};

/// One call of tillerctl, as flags and environment give it.
struct invocation
{
    std::string command;
    std::vector<std::string> arguments;
    std::string platform;          ///< IP and port of the platform's API.
    std::string node;              ///< IP and port of any node.
    std::string who;               ///< Recorded with each change.
    std::vector<std::string> logs; ///< Files with the lines of nodes.
    output_format output = output_format::table;
    core::milliseconds timeout{0};
    bool dry_run = false;
    bool prune = false;
    bool force = false;

    auto operator==(const invocation&) const -> bool = default;
};

/// Where a command writes: answers to out, everything else to err.
struct terminal
{
    std::ostream& out;
    std::ostream& err;
};

} // namespace almondtiller::tillerctl
