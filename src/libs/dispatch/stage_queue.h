#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "dispatch/arrival_rates.h"
#include "dispatch/request_pacer.h"
#include "dispatch/version_rules.h"
#include "fairness/fair_queue_order.h"
#include "result_room/room_estimate.h"
#include "routing/outlier_detector.h"
#include "serving/configuration.h"
#include "serving/request.h"
#include "upstream_speed/service_speeds.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::dispatch {

/// The pieces that one request needs from one stage.
struct stage_work
{
    std::uint64_t ticket = 0;
    std::vector<serving::stage_item> items;
    /// The request is late if the stage ends after this time.
    core::time_point due;
    /// The results are of no use after this time.
    core::time_point deadline;
    /// 0 is the most urgent.
    int priority = 0;
    /// Zone in which the results will be read; empty: any.
    core::zone_name zone;
    /// Size of one result.
    std::uint64_t result_bytes = 0;
    /// Bytes that cross zones if all pieces are done outside the zone.
    std::uint64_t transfer_bytes = 0;
    /// Empty if the route requires no API key.
    core::workspace_name workspace;
    /// Weight of the workspace when capacity is scarce; greater than 0.
    double weight = 1;
};

struct stage_upstream
{
    core::upstream_id id;
    core::endpoint address;
    core::zone_name zone;
    /// Calls per second that the upstream accepts; empty if it states no limit.
    std::optional<double> request_limit = std::nullopt;
    /// Whether it counts toward the capacity; false for upstreams of a version
    /// that gets little or no work.
    bool is_in_use = true;

    auto operator==(const stage_upstream&) const -> bool = default;
};

/// A call to send to an upstream now.
struct stage_call
{
    std::uint64_t id = 0;
    stage_upstream upstream;
    std::vector<serving::stage_item> items;
    core::time_point expected_end;
};

enum class stage_status
{
    done,
    rejected,   ///< Cannot be done in time.
    input_lost, ///< An input was lost; restart from the first stage.
    failed,
};

/// The result of a stage_work.
struct stage_outcome
{
    std::uint64_t ticket = 0;
    stage_status status = stage_status::done;
    /// One handle per item, in the order of the items.
    std::vector<std::string> handles;
    /// If rejected: the time until there will be room.
    core::milliseconds retry_after{0};

    auto operator==(const stage_outcome&) const -> bool = default;
};

/// Consequences of an event, for the caller to carry out.
struct stage_effects
{
    std::vector<stage_outcome> outcomes;
    /// Handles of results that no work needs.
    std::vector<std::string> unused_results;
};

struct stage_queue_limits
{
    /// Whether workspaces share scarce capacity by weight.
    bool has_fair_sharing = false;

    auto operator==(const stage_queue_limits&) const -> bool = default;
};

/// Decides which pieces are sent to which upstream of a stage service, and in
/// which calls. Load pattern: a call costs far more than a piece, so that calls
/// with the pieces of only one request saturate the service below the load of a
/// calm day. Pieces of all nodes wait in one queue; an idle upstream takes the
/// most urgent of them until its call is full.
class stage_queue
{
public:
    explicit stage_queue(serving::stage_pool pool,
                         stage_queue_limits limits = {});

    auto set_pool(const serving::stage_pool& pool) -> void;
    auto set_upstreams(const std::vector<stage_upstream>& upstreams) -> void;
    /// Sets rules for the versions of upstreams; without them, a call may go to
    /// any upstream.
    auto set_version_rules(version_rules rules) -> void;

    /// \return A rejection if the work cannot be done in time.
    auto submit(stage_work work, core::time_point now)
        -> std::optional<stage_outcome>;

    /// Cancels the work of a ticket.
    /// \return The handles of its results, in unused_results.
    auto cancel(std::uint64_t ticket) -> stage_effects;

    /// \return The next call to send; empty if no idle upstream can take a
    ///         piece.
    auto next_call(core::time_point now) -> std::optional<stage_call>;

    /// A call has completed with one result per item.
    auto on_results(std::uint64_t call,
                    const std::vector<serving::stage_result>& results,
                    core::time_point now) -> stage_effects;

    /// A call has failed as a whole.
    /// \param is_full Whether the upstream rejected the call because it was
    ///        full.
    auto on_call_failed(std::uint64_t call, bool is_full, core::time_point now)
        -> stage_effects;

    /// Sends no calls to an upstream until \a until. The upstream may have
    /// requested this from any node.
    auto hold_off(const core::upstream_id& upstream, core::time_point until)
        -> void;

    /// Ends work that can no longer begin in time and offers the pieces of
    /// overdue calls to other upstreams.
    auto on_tick(core::time_point now) -> stage_effects;

    /// A result was freed at its upstream.
    auto on_result_freed(const std::string& handle) -> void;

    /// Takes results into account from now on that upstreams hold for others
    /// than this queue.
    auto enable_room_reports() -> void;

    /// \return The upstreams whose free room has to be requested now.
    auto room_requests(core::time_point now) -> std::vector<stage_upstream>;

    /// An upstream has reported its free room for results.
    /// \return Bytes of results there that are not known to this queue.
    auto on_room_reported(const core::upstream_id& id, std::uint64_t free_bytes,
                          core::time_point now) -> std::uint64_t;

    /// \return The speeds of the upstreams, which count once enabled.
    auto upstream_speeds() -> upstream_speed::service_speeds&;
    /// \return The results that the upstreams keep for which \a rule holds.
    [[nodiscard]] auto held_results(const upstream_rule& rule,
                                    core::time_point now) const -> std::size_t;

    [[nodiscard]] auto waiting_pieces() const -> std::size_t;

    /// \return The time until new work would begin.
    [[nodiscard]] auto estimated_wait(core::time_point now) const
        -> core::duration;

    /// \return What a workspace gets at a priority; nothing unless workspaces
    ///         share the capacity.
    [[nodiscard]] auto share_of(const core::workspace_name& workspace,
                                int priority, core::time_point now) const
        -> std::optional<fairness::workspace_share>;

private:
    struct stored_result
    {
        std::uint64_t bytes = 0;
        core::time_point expires;
    };
    struct upstream_state
    {
        stage_upstream upstream;
        /// The call in progress; 0 if idle.
        std::uint64_t active_call = 0;
        core::time_point busy_until;
        core::time_point blocked_until;
        request_pacer pacer;
        /// Measured time of calls as a multiple of the nominal time.
        double slowness = 1.0;
        /// Last time when the upstream started or ended a call, or a call to it
        /// became overdue.
        core::time_point last_used;
        routing::outlier_detector health;
        std::map<std::string, stored_result> results;
        /// Room that results of other owners take.
        result_room::room_estimate room;
        std::size_t speed_index = 0;
    };
    struct piece
    {
        std::string handle;
        /// Calls in progress that carry the piece.
        int active_calls = 0;
        bool is_waiting = true;
    };
    struct work_state
    {
        stage_work work;
        std::vector<piece> pieces;
        /// Whether its due time could no longer be met when it was submitted.
        bool is_late = false;
        /// Set if workspaces share the capacity.
        fairness::fair_queue_order::flow_ref flow;
        double start_tag = 0;
        bool is_advanced = false;
        /// Whether a call with some of the pieces was sent.
        bool is_charged = false;
    };
    /// The waiting pieces before a work in the order of service.
    struct queue_position
    {
        std::size_t pieces = 0;
        /// Those of work that can be on time, by priority.
        std::map<int, std::size_t> on_time_pieces;
    };
    struct piece_ref
    {
        std::uint64_t ticket = 0;
        std::size_t index = 0;
    };
    struct call_state
    {
        core::upstream_id upstream;
        std::vector<piece_ref> pieces;
        core::time_point sent_at;
        core::time_point overdue_at;
        bool is_overdue = false;
        /// Quick part of the upstream's speed when the call was sent.
        double quick_part = 1.0;
    };

    [[nodiscard]] auto nominal_call_time(std::size_t items) const
        -> core::duration;
    [[nodiscard]] static auto waiting_pieces_of(const work_state& state)
        -> std::size_t;
    [[nodiscard]] auto waiting_by_urgency(core::time_point now)
        -> std::vector<const work_state*>;
    [[nodiscard]] auto waiting_by_share(core::time_point now)
        -> std::vector<const work_state*>;
    [[nodiscard]] auto sharing_entry(const work_state& state,
                                     core::time_point now) const
        -> fairness::waiting_work;
    auto add_before(queue_position& position, const work_state& state,
                    core::time_point now) const -> void;
    /// \return The time until the work begins at a position.
    [[nodiscard]] auto wait_at(const work_state& state,
                               const queue_position& position,
                               core::time_point now) const -> core::duration;
    /// \return The time until work that was not accepted yet would begin.
    [[nodiscard]] auto wait_of_new(const work_state& state,
                                   core::time_point now) -> core::duration;
    [[nodiscard]] auto
    wait_behind(const work_state& state, const fairness::waiting_work& entry,
                const queue_position& ahead, core::time_point now) const
        -> core::duration;
    /// Charges the pieces of a call to their workspaces.
    auto charge(const call_state& call, core::time_point now) -> void;
    [[nodiscard]] auto is_on_time(const work_state& state,
                                  core::time_point now) const -> bool;
    [[nodiscard]] auto pieces_ahead(const work_state& state,
                                    core::time_point now) const -> std::size_t;
    /// \return When the upstream can take its next call.
    [[nodiscard]] static auto free_at(const upstream_state& upstream)
        -> core::time_point;
    /// \return The capacity, as a number of upstreams of nominal speed.
    [[nodiscard]] auto capacity() const -> double;
    /// \return The time to finish the calls in progress and \a pieces.
    [[nodiscard]] auto backlog_time(std::size_t pieces,
                                    core::time_point now) const
        -> core::duration;
    /// \return The time until the work begins if \a ahead pieces precede it.
    [[nodiscard]] auto estimated_wait_of(const work_state& state,
                                         std::size_t ahead,
                                         core::time_point now) const
        -> core::duration;
    /// \return The least time in which the pieces of one work can be done.
    [[nodiscard]] auto run_time(std::size_t pieces) const -> core::duration;
    [[nodiscard]] auto can_accept(const work_state& state, core::duration wait,
                                  core::time_point now) const -> bool;
    auto used_room(upstream_state& upstream, core::time_point now)
        -> std::uint64_t;
    /// \return Bytes of results of other owners.
    [[nodiscard]] auto unknown_room(const upstream_state& upstream,
                                    core::time_point now) const
        -> std::uint64_t;
    auto available_room(upstream_state& upstream, core::time_point now)
        -> std::uint64_t;
    [[nodiscard]] auto can_wait_for_own_zone(const stage_work& work,
                                             std::size_t ahead,
                                             core::time_point now) const
        -> bool;
    /// \return Whether calls to the upstream recently took too long.
    [[nodiscard]] auto is_slow(const upstream_state& upstream,
                               core::time_point now) const -> bool;
    /// \return The time of calls, as a multiple of the nominal time, that the
    ///         upstream is expected to need in the next seconds.
    [[nodiscard]] auto lasting_slowness(const upstream_state& upstream) const
        -> double;
    /// \return The same for a call that is sent now.
    [[nodiscard]] auto present_slowness(const upstream_state& upstream,
                                        core::time_point now) const -> double;
    [[nodiscard]] auto expected_call_time(const upstream_state& upstream,
                                          std::size_t items,
                                          core::time_point now) const
        -> core::duration;
    /// Records the time of a completed call.
    auto record_call(upstream_state& upstream, const call_state& call,
                     core::time_point now) -> void;
    /// Begins to track the speeds of new upstreams.
    auto track_speeds() -> void;
    auto idle_upstreams(core::time_point now) -> std::vector<upstream_state*>;
    /// \return The call for the first of the idle upstreams that can take a
    ///         piece.
    auto fill_any(std::vector<upstream_state*> idle, core::time_point now)
        -> std::optional<stage_call>;
    auto fill_call(upstream_state& upstream,
                   const std::vector<const work_state*>& works,
                   const std::vector<upstream_state*>& idle,
                   core::time_point now) -> std::optional<stage_call>;
    auto remove_call(std::uint64_t id, core::time_point now)
        -> std::optional<call_state>;
    auto finish_if_done(std::uint64_t ticket, stage_effects& effects) -> void;
    auto end_work(std::uint64_t ticket, stage_status status,
                  stage_effects& effects, core::milliseconds retry_after = {})
        -> void;

    serving::stage_pool pool;
    std::map<core::upstream_id, upstream_state> upstreams;
    std::map<std::uint64_t, work_state> works;
    std::map<std::uint64_t, call_state> calls;
    std::map<std::string, core::upstream_id> result_holders;
    std::optional<fairness::fair_queue_order> order;
    arrival_rates arrivals;
    upstream_speed::service_speeds speeds;
    std::uint64_t last_call = 0;
    bool uses_room_reports = false;
    version_rules versions;
};

} // namespace almondtiller::dispatch
