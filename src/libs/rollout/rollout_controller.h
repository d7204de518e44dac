#pragma once

#include "rollout/phase_schedule.h"
#include "rollout/report.h"
#include "rollout/report_ledger.h"
#include "rollout/trial_plan.h"
#include "rollout/version_evidence.h"

#include <optional>
#include <set>
#include <string>

namespace almondtiller::rollout {

/// Why a controller has chosen a directive, for the log.
struct evidence
{
    /// Route that decided; empty if all routes together did.
    std::string route;
    /// What decided, as a word for the log: "start", "samples", "load",
    /// "accepted", "failures", "slow", "no_room", "no_upstream", "deadline",
    /// "drained", "exposure", "adopted" (from another coordinator).
    std::string reason;
    std::uint64_t new_answers = 0;
    std::uint64_t new_failed = 0;
    std::uint64_t new_slow = 0;
    std::uint64_t old_answers = 0;
    std::uint64_t old_failed = 0;
    /// Duration above which an answer counted as slow on the route.
    core::duration slow_bound{0};
    /// Requests sent to the service and to the new version since the order.
    std::uint64_t sent = 0;
    std::uint64_t sent_new = 0;
    core::duration time_left{0};

    auto operator==(const evidence&) const -> bool = default;
};

struct decision
{
    rollout::directive directive;
    rollout::evidence evidence;

    auto operator==(const decision&) const -> bool = default;
};

/// Decides how far a rollout goes. Load pattern: a new version whose answers
/// fail or are slow, at once or later, under load only or on one route only,
/// beside other trouble that the version has not caused. Runs at the
/// coordinator of a service; another coordinator continues from the reports,
/// whose counts are cumulative.
class rollout_controller
{
public:
    rollout_controller(order roll_out, exposure_limits limits,
                       core::time_point now);

    /// Takes a report of a node, which replaces the earlier ones of the same
    /// incarnation.
    auto on_report(node_report report, core::time_point now) -> void;

    /// Drops the reports of nodes that are not alive, except for what they have
    /// sent.
    /// \param alive The nodes whose reports are awaited.
    auto set_alive(const std::set<core::node_id>& alive) -> void;

    auto set_room(const version_room& room) -> void;

    /// \return The directive in force and why it was chosen. A new one has the
    ///         next number. Number 0, which binds nobody, until each live node
    ///         has reported or 1 s has passed.
    auto decide(core::time_point now) -> decision;

private:
    order roll_out;
    exposure_limits limits;
    core::time_point created;
    /// Time of the order.
    core::time_point started;
    std::set<core::node_id> alive;
    version_room room;
    report_ledger ledger;
    version_evidence seen;
    decision current;
    /// Plan of the directive in force; none after a change of phase.
    std::optional<trial_plan> plan;
    /// Whether the trial is halted until more may be sent.
    bool is_halted = false;
    std::uint64_t answers_before_load = 0;
    core::time_point phase_since;
    std::optional<core::time_point> without_upstream_since;

    auto adopt(const rollout::directive& applied, core::time_point now) -> void;
    [[nodiscard]] auto is_ready(core::time_point now) const -> bool;
    [[nodiscard]] auto schedule(core::duration age) const -> phase_schedule;
    [[nodiscard]] auto has_room() const -> bool;
    [[nodiscard]] auto is_drained() const -> bool;
    [[nodiscard]] auto has_load_samples() const -> bool;
    auto decide_trial(core::time_point now) -> void;
    auto decide_at_latest(core::time_point now) -> void;
    auto decide_promotion(core::time_point now) -> void;
    /// \param is_entered Whether the directive was made for a phase that has
    ///        just begun.
    auto adjust_share(bool is_entered, core::time_point now) -> void;
    [[nodiscard]] auto must_halt(const trial_plan& wanted, core::duration age,
                                 core::duration delay) const -> bool;
    auto enter(rollout::phase next, const finding& why, core::time_point now)
        -> void;
    auto describe(const finding& why, core::time_point now) -> void;
};

} // namespace almondtiller::rollout
