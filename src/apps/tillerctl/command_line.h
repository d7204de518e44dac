#pragma once

#include "tillerctl/exit_status.h"
#include "tillerctl/invocation.h"

#include <variant>

namespace almondtiller::tillerctl {

/// Reads flags, then ALMONDTILLER_* variables for what the flags leave open.
/// Prints help, the version or one line about what is wrong to \a io.
/// \return The call to run, or the status to exit with.
[[nodiscard]] auto parse_command_line(int argc, char** argv, terminal& io)
    -> std::variant<invocation, exit_status>;

/// Writes the help of every command, or of one.
auto print_help(std::string_view command_name, terminal& io) -> void;

} // namespace almondtiller::tillerctl
