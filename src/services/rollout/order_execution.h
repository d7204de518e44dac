#pragma once

#include "dispatch/serving_state.h"
#include "dispatch/version_rules.h"
#include "rollout/version_gate.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondtiller::rollout {

/// How this node divides the work of one service between versions, according to
/// the newest directive. Load pattern: the owner of a service and the senders
/// of its requests learn of a directive at different times.
class order_execution
{
public:
    /// \param lenient_time Time after the directive to use only the new version
    ///        in which requests may still be sent to old upstreams, because
    ///        their owner did not know the directive.
    order_execution(rollout::order carried_out, core::duration lenient_time,
                    core::time_point now);

    /// Applies a directive.
    /// \return Whether it is newer than the one in force.
    auto apply(const directive& newer, std::uint32_t placers,
               core::time_point now) -> bool;
    /// Applies the state in which the order has ended, which prevails.
    auto end(order_state state, core::time_point now) -> void;
    /// The coordinator has not answered for some time.
    auto on_coordinator_silent() -> void;
    auto on_bad_answer() -> void;

    /// Reads which upstreams have the version of the order.
    /// \param rejected Other versions, which were rolled back and get nothing.
    auto refresh(const dispatch::serving_state& serving_state,
                 const std::set<std::string>& rejected = {}) -> void;

    /// \return Rules for the next piece of work.
    [[nodiscard]] auto rules(core::time_point now)
        -> std::vector<dispatch::upstream_rule>;
    auto record_given(const core::upstream_id& upstream, core::time_point now)
        -> void;
    /// \return Whether work that was placed on an upstream may be sent there.
    [[nodiscard]] auto may_send(const core::upstream_id& upstream,
                                core::time_point now) const -> bool;
    /// \return Whether the upstream counts toward the capacity of the service.
    [[nodiscard]] auto is_in_use(const core::upstream_id& upstream) const
        -> bool;
    /// \return Whether this node may still send requests to old upstreams that
    ///         were placed there before the directive in force.
    [[nodiscard]] auto is_lenient(core::time_point now) const -> bool;

    [[nodiscard]] auto is_new(const core::upstream_id& upstream) const -> bool;
    [[nodiscard]] auto in_force() const -> const directive&;
    [[nodiscard]] auto carried_out() const -> const rollout::order&;

private:
    using id_set = std::set<core::upstream_id>;

    auto choose_trial(const std::vector<dispatch::known_upstream>& usable)
        -> void;
    [[nodiscard]] auto old_rule() const -> dispatch::upstream_rule;
    [[nodiscard]] auto is_promoted() const -> bool;
    /// \return Whether the version is on trial although there is no other one,
    ///         as with an order for the version that already serves.
    [[nodiscard]] auto is_only_version() const -> bool;

    rollout::order order;
    core::duration lenient_time;
    version_gate gate;
    /// When the directive to use only the new version was applied.
    core::time_point promoted_at;
    /// Upstreams of the version, and those that may get work now.
    std::shared_ptr<const id_set> new_ids = std::make_shared<id_set>();
    std::shared_ptr<const id_set> rejected_ids = std::make_shared<id_set>();
    std::shared_ptr<const id_set> trial_ids = std::make_shared<id_set>();
    bool has_usable_new = false;
    /// Whether an upstream of another version is registered.
    bool has_old = false;
};

} // namespace almondtiller::rollout
