#pragma once

#include "tillerctl/command.h"
#include "tillerctl/command_line.h"

#include <sstream>
#include <string>
#include <vector>

namespace almondtiller::tillerctl {

/// What a call of tillerctl printed and returned.
struct call_result
{
    exit_status status = exit_status::success;
    std::string out;
    std::string err;
};

/// Runs tillerctl in this process.
/// \param words The command line after the program's name.
inline auto run_command(std::vector<std::string> words) -> call_result
{
    words.insert(words.begin(), "tillerctl");
    auto argv = std::vector<char*>();
    for (auto& word : words) {
        argv.push_back(word.data());
    }
    auto out = std::ostringstream();
    auto err = std::ostringstream();
    auto io = terminal{out, err};
    const auto parsed = parse_command_line(int(argv.size()), argv.data(), io);
    const auto* call = std::get_if<invocation>(&parsed);
    const auto status = call != nullptr
                            ? find_command(call->command)->run(*call, io)
                            : std::get<exit_status>(parsed);
    return {status, out.str(), err.str()};
}

} // namespace almondtiller::tillerctl
