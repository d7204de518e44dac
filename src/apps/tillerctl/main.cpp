#include "tillerctl/command.h"
#include "tillerctl/command_line.h"

#include <iostream>

auto main(int argc, char** argv) -> int
{
    using namespace almondtiller::tillerctl;
    auto io = terminal{std::cout, std::cerr};
    const auto parsed = parse_command_line(argc, argv, io);
    if (const auto* status = std::get_if<exit_status>(&parsed)) {
        return static_cast<int>(*status);
    }
    const auto& call = std::get<invocation>(parsed);
    return static_cast<int>(find_command(call.command)->run(call, io));
}
