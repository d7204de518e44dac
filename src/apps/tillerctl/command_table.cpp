#include "tillerctl/command.h"
#include "tillerctl/commands.h"

#include <array>

namespace almondtiller::tillerctl {

namespace {

constexpr auto table = std::array{
    command{"validate", "DIRECTORY",
            "Report everything wrong with declarations",
            "tillerctl validate examples/grua-norte", 1, 1, run_validate},
    command{"diff", "DIRECTORY",
            "Show what apply would change; exits 7 when anything",
            "tillerctl diff examples/grua-norte --prune", 1, 1, run_diff},
    command{"apply", "DIRECTORY",
            "Put declarations in force and wait until every node has them",
            "tillerctl apply examples/grua-norte --dry-run", 1, 1, run_apply},
    command{"get", "[PATH]", "Show what is declared on the platform",
            "tillerctl get pools/tiller-pool", 0, 1, run_get},
    command{
        "explain", "KEY-PATH",
        "Show an effective value and the level that sets it",
        "tillerctl explain pipelines/berth-redraft/stages/draft/max_attempts",
        1, 1, run_explain},
    command{"explain-request", "ID --log FILE...",
            "Show what happened to a request, from the logs of nodes",
            "tillerctl explain-request 9e66240a73ae12d1 --log a.log b.log", 1,
            1, run_explain_request},
    command{"history", "", "Show the newest accepted changes",
            "tillerctl history --output json", 0, 0, run_history},
    command{"zone", "out|in NAME", "Take an availability zone out, or back in",
            "tillerctl zone out cantabrico-a", 2, 2, run_zone},
    command{"drain", "NODE", "Let a node finish its work and leave",
            "tillerctl drain 127.0.0.1:8081", 1, 1, run_drain},
    command{
        "status", "",
        "Show nodes, zones, pools, upstreams and leases as a node sees them",
        "tillerctl status --node 127.0.0.1:8081", 0, 0, run_status},
    command{"top", "",
            "Show attainment and cost by stage as a node counts them",
            "tillerctl top --node 127.0.0.1:8081", 0, 0, run_top},
    command{"reference", "settings", "Print the reference page",
            "tillerctl reference settings", 1, 1, run_reference},
    command{"completion", "bash", "Print a completion script",
            "source <(tillerctl completion bash)", 1, 1, run_completion},
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
