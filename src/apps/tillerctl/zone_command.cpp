#include "tillerctl/commands.h"
#include "tillerctl/rollout.h"

#include <algorithm>

namespace almondtiller::tillerctl {

namespace {

/// \return Whether no other zone is in.
auto is_last_in(const fleet::zone_states& zones, const core::zone_name& name)
    -> bool
{
    return std::none_of(zones.begin(), zones.end(), [&name](const auto& zone) {
        return zone.first != name && zone.second == settings::zone_state::in;
    });
}

} // namespace

auto run_zone(const invocation& call, terminal& io) -> exit_status
{
    const auto& direction = call.arguments.front();
    if (direction != "out" && direction != "in") {
        io.err << "tillerctl: zone takes out or in, not " << direction << "\n";
        return exit_status::usage;
    }
    const auto name = core::zone_name(call.arguments.back());
    const auto state = direction == "out" ? settings::zone_state::out
                                          : settings::zone_state::in;
    auto opened = session(call, io);
    if (!opened.has_platform()) {
        return exit_status::usage;
    }
    const auto stored = opened.read_config();
    if (!stored) {
        return exit_status::unreachable;
    }
    if (state == settings::zone_state::out && !call.force &&
        is_last_in(stored->zones, name)) {
        io.err << "tillerctl: " << name.str()
               << " is the last availability zone in; --force takes it out; "
                  "nothing has changed\n";
        return exit_status::not_applied;
    }
    if (call.dry_run) {
        io.out << "zone " << name.str() << " would be " << direction << '\n';
        return exit_status::success;
    }
    const auto outcome = opened.publisher.set_zone_state(
        name, state, {call.who, "zone " + direction + " " + name.str()});
    return finish_change(opened, outcome, call, io);
}

} // namespace almondtiller::tillerctl
