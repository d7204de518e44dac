#include "tillerctl/commands.h"
#include "tillerctl/findings.h"

namespace almondtiller::tillerctl {

auto run_validate(const invocation& call, terminal& io) -> exit_status
{
    const auto loaded = settings::load_tree(call.arguments.front());
    const auto findings = check(loaded);
    if (!findings.empty() || call.output == output_format::json) {
        print_findings(findings, call, io);
    }
    if (!findings.empty()) {
        io.err << findings.size() << " errors\n";
        return exit_status::failure;
    }
    if (call.output == output_format::table) {
        io.out << "valid\n";
    }
    return exit_status::success;
}

} // namespace almondtiller::tillerctl
