#include "settings/reference.h"
#include "tillerctl/command.h"
#include "tillerctl/commands.h"

namespace almondtiller::tillerctl {

namespace {

constexpr auto completion_head = R"(# Completion of tillerctl for bash:
#   source <(tillerctl completion bash)
_tillerctl()
{
    local current=${COMP_WORDS[COMP_CWORD]}
    local flags="--help --version --platform --node --who --output --timeout
        --log --dry-run --prune --force"
    if [[ $current == -* ]]; then
        COMPREPLY=($(compgen -W "$flags" -- "$current"))
    elif [[ $COMP_CWORD -eq 1 ]]; then
        COMPREPLY=($(compgen -W ")";
constexpr auto completion_tail = R"(" -- "$current"))
    elif [[ ${COMP_WORDS[1]} == zone && $COMP_CWORD -eq 2 ]]; then
        COMPREPLY=($(compgen -W "out in" -- "$current"))
    else
        COMPREPLY=($(compgen -f -- "$current"))
    fi
}
complete -F _tillerctl tillerctl
)";

} // namespace

auto run_reference(const invocation& call, terminal& io) -> exit_status
{
    if (call.arguments.front() != "settings") {
        io.err << "tillerctl: reference knows settings, not "
               << call.arguments.front() << "\n";
        return exit_status::usage;
    }
    io.out << settings::settings_reference();
    return exit_status::success;
}

auto run_completion(const invocation& call, terminal& io) -> exit_status
{
    if (call.arguments.front() != "bash") {
        io.err << "tillerctl: completion knows bash, not "
               << call.arguments.front() << "\n";
        return exit_status::usage;
    }
    io.out << completion_head;
    for (const auto& row : command_table()) {
        io.out << row.name << ' ';
    }
    io.out << completion_tail;
    return exit_status::success;
}

} // namespace almondtiller::tillerctl
