#pragma once

#include "tillerctl/exit_status.h"
#include "tillerctl/invocation.h"

#include <functional>
#include <span>
#include <string_view>

namespace almondtiller::tillerctl {

/// One row of the command table.
struct command
{
    std::string_view name;
    std::string_view arguments; ///< As the help shows them.
    std::string_view summary;
    std::string_view example;
    std::size_t min_arguments;
    std::size_t max_arguments;
    exit_status (*run)(const invocation& call, terminal& io);
};

/// \return Every command, in the order of the help.
[[nodiscard]] auto command_table() -> std::span<const command>;

/// \return Null when there is no command of that name.
[[nodiscard]] auto find_command(std::string_view name) -> const command*;

} // namespace almondtiller::tillerctl
