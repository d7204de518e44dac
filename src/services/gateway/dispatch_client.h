#pragma once

#include "services/gateway/dispatcher.h"
#include "services/gateway/owner_choice.h"
#include "services/gateway/peer_mesh.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace almondtiller::gateway {

/// Brings work to the node that owns a shard of a service, wherever that is:
/// the live node with the largest rendezvous weight for it, one of the shard's
/// zone if there is any. When the owner is lost,
/// the work goes to the next one, and running requests are announced there.
class dispatch_client
{
public:
    dispatch_client(event::loop& owner, core::node_id self, peer_mesh& mesh,
                    const dispatch::serving_state& known, dispatcher& local,
                    event_log& log);

    /// \param candidates Nodes that may own services.
    auto set_candidates(std::vector<owner_candidate> candidates) -> void;

    /// \return The owner of the shard that does work for a zone.
    [[nodiscard]] auto owner_of(const serving::service_name& service,
                                const core::zone_name& zone) const
        -> core::node_id;

    /// Has pieces done.
    /// \return A number for cancel().
    auto run_stage(const serving::service_name& service,
                   dispatch::stage_work work, dispatcher::stage_done done)
        -> std::uint64_t;

    /// Asks for an upstream.
    /// \return A number for cancel().
    auto place(const serving::service_name& service,
               dispatch::placement_request request, dispatcher::place_done done)
        -> std::uint64_t;

    auto cancel(std::uint64_t number) -> void;

    /// A placed request has begun to be answered.
    auto report_started(const serving::service_name& service,
                        const core::request_id& request) -> void;
    /// A placed request has ended.
    auto report_ended(const serving::service_name& service,
                      const core::request_id& request, dispatch::work_end how)
        -> void;

    /// Tells the owner of an upstream that it is about to end.
    auto report_leaving(const serving::upstream& upstream) -> void;

    auto free_results(const serving::service_name& service,
                      std::vector<std::string> handles) -> void;

private:
    struct pending
    {
        serving::service_name service;
        core::zone_name zone;
        core::node_id owner;
        /// Carries the work to the owner; again after its loss.
        std::function<void()> submit;
        /// Takes the work back from the owner.
        std::function<void()> withdraw;
        int attempts = 0;
    };
    struct active
    {
        place_message message;
        core::node_id owner;
    };
    struct ended_request
    {
        active request;
        core::time_point ended;
    };

    /// \param submit Carries the work to its owner, again after its loss.
    /// \return The work's number.
    auto begin(const serving::service_name& service,
               const core::zone_name& zone,
               std::function<void(std::uint64_t)> submit) -> std::uint64_t;
    auto submit_stage(std::uint64_t number, const dispatch::stage_work& work,
                      const dispatcher::stage_done& done) -> void;
    auto submit_place(std::uint64_t number, const place_message& message,
                      const dispatcher::place_done& done) -> void;
    auto choose_owner(pending& work) -> void;
    auto resubmit(std::uint64_t number) -> void;
    auto queue_report(const report_message& message) -> void;
    auto queue_report(const core::node_id& node, const report_message& message)
        -> void;
    auto send_reports() -> void;
    auto announce(active& placed) -> void;
    /// Tells a new owner which prompts upstreams have read lately, as it would
    /// otherwise send the next request of a session elsewhere. Load pattern:
    /// nodes that are stopped in turn, with long shared prompts.
    auto announce_recent() -> void;
    auto remember(active ended) -> void;

    event::loop& owner;
    core::node_id self;
    peer_mesh& mesh;
    const dispatch::serving_state& known;
    dispatcher& local;
    event_log& log;
    std::vector<owner_candidate> candidates;
    std::map<std::uint64_t, pending> work;
    std::map<core::request_id, active> placed;
    /// Requests that have ended lately, oldest first.
    std::deque<ended_request> recent;
    std::map<core::node_id, std::vector<report_message>> reports;
    std::uint64_t last_number = 0;
    event::timer report_timer;
    bool is_reporting = false;
};

/// Lets peers use the dispatcher of this node.
auto serve_peers(peer_mesh& mesh, dispatcher& local, event::loop& owner,
                 event_log& log) -> void;

} // namespace almondtiller::gateway
