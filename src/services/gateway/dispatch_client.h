#pragma once

#include "services/gateway/dispatcher.h"
#include "services/gateway/owner_choice.h"
#include "services/gateway/peer_mesh.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace almondtiller::gateway {

/// Sends work to the node that owns a shard of a service: the live node with
/// the largest rendezvous weight for the shard, one in the shard's zone if
/// there is any. When the owner is lost, the work is sent to the next owner,
/// and running requests are announced to it.
class dispatch_client
{
public:
    dispatch_client(event::loop& event_loop, core::node_id self,
                    peer_mesh& mesh,
                    const dispatch::serving_state& serving_state,
                    dispatcher& local, event_log& log);

    /// \param candidates Nodes that may own services.
    auto set_candidates(std::vector<owner_candidate> candidates) -> void;

    /// \return The owner of the service's shard that handles work of the zone.
    [[nodiscard]] auto owner_of(const serving::service_name& service,
                                const core::zone_name& zone) const
        -> core::node_id;

    /// \return The node that coordinates the rollouts of a service.
    [[nodiscard]] auto
    coordinator_of(const serving::service_name& service) const -> core::node_id;

    /// Executes pieces of a stage.
    /// \return A number for cancel().
    auto run_stage(const serving::service_name& service,
                   dispatch::stage_work work, dispatcher::stage_done done)
        -> std::uint64_t;

    /// Requests an upstream.
    /// \return A number for cancel().
    auto place(const serving::service_name& service,
               dispatch::placement_request request, dispatcher::place_done done)
        -> std::uint64_t;

    auto cancel(std::uint64_t number) -> void;

    /// Restores the owner's record of a placed request, which ends when another
    /// upstream is requested for it.
    auto announce_again(const core::request_id& request) -> void;

    /// Reports to the owner that the answer of a placed request has begun.
    auto report_started(const serving::service_name& service,
                        const core::request_id& request) -> void;
    /// Reports to the owner that a placed request has ended.
    /// \param event_time Mean time between the events of its answer; empty if
    ///        it is not known.
    auto report_ended(const serving::service_name& service,
                      const core::request_id& request,
                      dispatch::attempt_end how,
                      std::optional<core::duration> event_time = std::nullopt)
        -> void;

    /// Keeps what an upstream states about its speed for the next reports on
    /// requests that it has.
    auto keep_speed(const speed_report& speed) -> void;

    /// Reports to the owner of an upstream that the upstream is about to shut
    /// down.
    auto report_leaving(const serving::upstream& upstream) -> void;

    /// Reports to the owner of an upstream what the upstream states about its
    /// request limit.
    auto report_limit(const serving::upstream& upstream,
                      const limit_report& limit) -> void;

    /// Sets the hook that is called when an owner grants an upstream that
    /// states a request limit.
    auto set_limit_hook(std::function<void(const limit_report&)> hook) -> void;

    auto free_results(const serving::service_name& service,
                      std::vector<std::string> handles) -> void;

private:
    struct pending_work
    {
        serving::service_name service;
        core::zone_name zone;
        core::node_id owner;
        /// Sends the work to its owner; called again when the owner is lost.
        std::function<void()> submit;
        /// Cancels the work at the owner.
        std::function<void()> cancel_action;
        int attempts = 0;
    };
    struct placed_request
    {
        place_message message;
        core::node_id owner;
    };
    struct ended_request
    {
        placed_request request;
        core::time_point ended;
    };

    /// \param submit Sends the work to its owner; called again when the owner
    ///        is lost.
    /// \return A number for cancel().
    auto start_work(const serving::service_name& service,
                    const core::zone_name& zone,
                    std::function<void(std::uint64_t)> submit) -> std::uint64_t;
    auto submit_stage(std::uint64_t number, const dispatch::stage_work& work,
                      const dispatcher::stage_done& done) -> void;
    auto submit_place(std::uint64_t number, const place_message& message,
                      const dispatcher::place_done& done) -> void;
    auto choose_owner(pending_work& work) -> void;
    auto resubmit(std::uint64_t number) -> void;
    auto queue_report(report_message message) -> void;
    auto queue_report(const core::node_id& node, const report_message& message)
        -> void;
    auto send_reports() -> void;
    auto announce(placed_request& entry) -> void;
    /// Records a grant, and ends the record of an earlier owner.
    auto record_placed(const place_message& message, const core::node_id& owner,
                       const core::upstream_id& upstream) -> void;
    /// Announces requests that have ended recently to new owners, so that these
    /// have a record of the prompts that the upstreams have processed.
    /// Otherwise a new owner would send the next request of a session to
    /// another upstream. Load pattern: nodes are stopped one after the other
    /// while requests share long prompts.
    auto announce_recent_requests() -> void;
    auto add_recent(placed_request ended) -> void;
    /// Reports the request limits of upstreams to their owners, one of which
    /// may be new.
    auto announce_limits() -> void;

    event::loop& event_loop;
    core::node_id self;
    peer_mesh& mesh;
    const dispatch::serving_state& serving_state;
    dispatcher& local;
    event_log& log;
    std::function<void(const limit_report&)> limit_hook;
    std::vector<owner_candidate> candidates;
    std::map<std::uint64_t, pending_work> work;
    std::map<core::request_id, placed_request> placed_requests;
    /// Requests that have ended recently, oldest first.
    std::deque<ended_request> recent_requests;
    std::map<core::node_id, std::vector<report_message>> reports;
    /// The last statement of each upstream that made one.
    std::map<core::upstream_id, upstream_speed::statement> stated_speeds;
    std::uint64_t last_number = 0;
    event::timer report_timer;
    bool is_report_scheduled = false;
};

/// Registers the handlers through which peers use the dispatcher of this node.
auto serve_peers(peer_mesh& mesh, dispatcher& local, event::loop& event_loop,
                 event_log& log) -> void;

} // namespace almondtiller::gateway
