#include "tillerctl/command.h"
#include "tillerctl/commands.h"

#include <array>

namespace almondtiller::tillerctl {

namespace {

constexpr auto table = std::array{
    command{"validate", "DIRECTORY",
            "Report everything wrong with declarations",
            "tillerctl validate examples/grua-norte", 1, 1, run_validate},
};

} // namespace

auto command_table() -> std::span<const command>
{
    return table;
}

auto find_command(std::string_view name) -> const command*
{
    for (const auto& row : table) {
        if (row.name == name) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace almondtiller::tillerctl
