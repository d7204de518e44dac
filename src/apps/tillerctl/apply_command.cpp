#include "settings/cross_checks.h"
#include "tillerctl/commands.h"
#include "tillerctl/differences.h"
#include "tillerctl/findings.h"
#include "tillerctl/rollout.h"

namespace almondtiller::tillerctl {

namespace {

/// What an apply or diff would do.
struct plan
{
    settings::declaration_tree wanted;
    std::uint64_t revision = 0;
    std::vector<settings::difference> differences;
};

/// Reports declarations that are wrong, also together with what is stored.
auto is_acceptable(std::vector<settings::finding> findings,
                   const invocation& call, terminal& io) -> bool
{
    if (call.force) {
        std::erase_if(findings, [](const auto& found) {
            return found.path == settings::all_zones_out_path;
        });
    }
    if (findings.empty()) {
        return true;
    }
    print_findings(findings, call, io);
    io.err << findings.size() << " errors; nothing has changed\n";
    return false;
}

auto make_plan(session& opened, const settings::declaration_tree& declared,
               const invocation& call) -> std::optional<plan>
{
    const auto stored = opened.read_config();
    if (!stored) {
        return std::nullopt;
    }
    auto made = plan{declared, stored->revision, {}};
    if (!call.prune) {
        made.wanted = settings::overlay(stored->tree, declared);
    }
    made.differences = settings::diff(stored->tree, made.wanted);
    return made;
}

auto publish(session& opened, const plan& made, const invocation& call,
             terminal& io) -> exit_status
{
    const auto info = fleet::change_info{
        call.who, "apply " + call.arguments.front() + ", " +
                      std::to_string(made.differences.size()) + " differences"};
    const auto outcome =
        opened.publisher.publish(made.wanted, info, made.revision);
    return finish_change(opened, outcome, call, io);
}

} // namespace

auto run_apply(const invocation& call, terminal& io) -> exit_status
{
    const auto loaded = settings::load_tree(call.arguments.front());
    if (!is_acceptable(check(loaded), call, io)) {
        return exit_status::failure;
    }
    auto opened = session(call, io);
    if (!opened.has_platform()) {
        return exit_status::usage;
    }
    const auto made = make_plan(opened, loaded.tree, call);
    if (!made) {
        return exit_status::unreachable;
    }
    if (!is_acceptable(settings::validate(made->wanted), call, io)) {
        return exit_status::failure;
    }
    if (call.dry_run) {
        print_differences(made->differences, call, io);
        return exit_status::success;
    }
    if (made->differences.empty() && made->revision > 0) {
        io.err << "nothing to change at revision " << made->revision << "\n";
        return exit_status::success;
    }
    return publish(opened, *made, call, io);
}

auto run_diff(const invocation& call, terminal& io) -> exit_status
{
    const auto loaded = settings::load_tree(call.arguments.front());
    if (!is_acceptable(check(loaded), call, io)) {
        return exit_status::failure;
    }
    auto opened = session(call, io);
    if (!opened.has_platform()) {
        return exit_status::usage;
    }
    const auto made = make_plan(opened, loaded.tree, call);
    if (!made) {
        return exit_status::unreachable;
    }
    print_differences(made->differences, call, io);
    return made->differences.empty() ? exit_status::success
                                     : exit_status::has_differences;
}

} // namespace almondtiller::tillerctl
