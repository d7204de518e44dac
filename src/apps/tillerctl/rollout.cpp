#include "tillerctl/rollout.h"

#include "core/errc.h"
#include "tillerctl/node_client.h"

#include <nlohmann/json.hpp>

#include <tbb/parallel_for.h>

#include <condition_variable>
#include <mutex>

namespace almondtiller::tillerctl {

namespace {

constexpr auto poll_interval = core::milliseconds(50);
constexpr auto node_timeout = core::milliseconds(500);

/// How many of the nodes have a revision in force.
struct rollout_progress
{
    std::size_t nodes = 0;
    std::size_t in_force = 0;
    std::string behind; ///< One node that does not have it.

    auto operator==(const rollout_progress&) const -> bool = default;
};

auto revision_of(const std::string& address) -> std::uint64_t
{
    const auto status = get_json(address, "/v1/status", node_timeout);
    return status ? status.value().value("revision", std::uint64_t(0)) : 0;
}

auto ask_nodes(session& opened, std::uint64_t revision,
               core::milliseconds timeout) -> core::result<rollout_progress>
{
    BOOST_OUTCOME_TRY(instances, opened.store.instances(timeout));
    std::erase_if(instances, [](const auto& instance) {
        return instance.role != platform::instance_role::node ||
               instance.state == platform::instance_state::leaving;
    });
    auto seen = std::vector<std::uint64_t>(instances.size());
    tbb::parallel_for(std::size_t(0), instances.size(), [&](std::size_t i) {
        seen[i] = revision_of(instances[i].address);
    });
    auto progress = rollout_progress{instances.size(), 0, ""};
    for (auto i = std::size_t(0); i < seen.size(); ++i) {
        if (seen[i] >= revision) {
            ++progress.in_force;
        } else {
            progress.behind = instances[i].id;
        }
    }
    return progress;
}

auto pause_between_polls(const core::runtime_clock& clock) -> void
{
    auto mutex = std::mutex();
    auto never = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    clock.wait_until(lock, never, clock.now() + poll_interval,
                     [] { return false; });
}

/// Asks the nodes until all have the revision in force or time runs out.
auto wait_until_in_force(session& opened, std::uint64_t revision,
                         const invocation& call, terminal& io) -> exit_status
{
    const auto deadline = opened.clock.now() + call.timeout;
    auto shown = rollout_progress();
    while (true) {
        const auto asked = ask_nodes(opened, revision, call.timeout);
        if (asked && asked.value() != shown) {
            shown = asked.value();
            io.err << "revision " << revision << " is in force on "
                   << shown.in_force << " of " << shown.nodes << " nodes\n";
        }
        if (asked && shown.in_force == shown.nodes) {
            return exit_status::success;
        }
        if (opened.clock.now() >= deadline) {
            break;
        }
        pause_between_polls(opened.clock);
    }
    io.err << "tillerctl: revision " << revision
           << " is accepted but not in force everywhere"
           << (shown.behind.empty() ? "" : ", for example not on ")
           << shown.behind << "\n";
    return exit_status::not_in_force;
}

auto describe(fleet::change_evidence evidence) -> std::string
{
    switch (evidence) {
    case fleet::change_evidence::answer:
        return "the platform answered the update";
    case fleet::change_evidence::head_reread:
        return "the answer was lost; the head's list of changes was read again";
    case fleet::change_evidence::head_fenced:
        return "the answer was lost; the unchanged head was written again, so "
               "that the update cannot take effect any more";
    case fleet::change_evidence::not_sent:
        return "the update was never sent";
    case fleet::change_evidence::none:
        break;
    }
    return "the platform could not be asked in time; look with tillerctl "
           "history";
}

auto print_outcome(const fleet::change_outcome& outcome, const invocation& call,
                   terminal& io) -> void
{
    if (call.output == output_format::json) {
        io.out << nlohmann::json({{"state", to_string(outcome.state)},
                                  {"revision", outcome.revision},
                                  {"change", outcome.id},
                                  {"reason", core::error_name(outcome.reason)},
                                  {"evidence", to_string(outcome.evidence)}})
                      .dump(2)
               << '\n';
        return;
    }
    io.out << to_string(outcome.state) << ": revision " << outcome.revision
           << ", change " << outcome.id << "; " << describe(outcome.evidence);
    if (outcome.reason) {
        io.out << "; " << outcome.reason.message() << " ["
               << core::error_name(outcome.reason) << "]";
    }
    io.out << '\n';
}

} // namespace

auto finish_change(session& opened, const fleet::change_outcome& outcome,
                   const invocation& call, terminal& io) -> exit_status
{
    print_outcome(outcome, call, io);
    switch (outcome.state) {
    case fleet::change_state::applied:
        return wait_until_in_force(opened, outcome.revision, call, io);
    case fleet::change_state::not_applied:
        return exit_status::not_applied;
    case fleet::change_state::unknown:
        break;
    }
    return exit_status::unknown;
}

} // namespace almondtiller::tillerctl
