#pragma once

#include "dispatch/placement.h"
#include "dispatch/serving_state.h"
#include "dispatch/stage_queue.h"
#include "event/timer.h"
#include "http1/client_pool.h"
#include "services/gateway/event_log.h"
#include "services/gateway/peer_messages.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace almondtiller::gateway {

/// Carries out the decisions of the dispatch package for the services that
/// this node owns: sends stage calls to upstreams and places requests of all
/// nodes.
class dispatcher
{
public:
    using stage_done = std::function<void(dispatch::stage_outcome)>;
    using place_done = std::function<void(dispatch::placement_outcome)>;

    dispatcher(event::loop& owner, const dispatch::serving_state& known,
               http1::client_pool& calls, event_log& log,
               dispatch::placement_limits limits);

    /// The configuration or the upstreams have changed.
    auto refresh() -> void;

    /// \return A ticket for cancel_stage().
    auto submit_stage(const serving::service_name& service,
                      dispatch::stage_work work, stage_done done)
        -> std::uint64_t;
    auto cancel_stage(const serving::service_name& service,
                      std::uint64_t ticket) -> void;
    auto free_results(const serving::service_name& service,
                      const std::vector<std::string>& handles) -> void;

    /// \param origin The node that sends the request to the upstream.
    auto submit_placement(place_message message, const core::node_id& origin,
                          place_done done) -> void;
    auto cancel_placement(const serving::service_name& service,
                          const core::request_id& request) -> void;
    auto report(const report_message& message) -> void;

    /// A node is gone, and with it the requests that it had sent.
    auto drop_origin(const core::node_id& origin) -> void;

private:
    struct stage_service;
    struct placed_service;

    auto stage(const serving::service_name& name) -> stage_service*;
    auto placed(const serving::service_name& name) -> placed_service*;
    auto schedule() -> void;
    auto pump() -> void;
    auto pump_stages(const serving::service_name& name, stage_service& service)
        -> void;
    auto pump_placements(placed_service& service) -> void;
    auto send_call(const serving::service_name& name,
                   const dispatch::stage_call& call) -> void;
    auto on_call_done(const serving::service_name& name,
                      const dispatch::stage_call& call, int status,
                      const std::string& body, std::error_code error) -> void;
    auto apply(const serving::service_name& name, stage_service& service,
               const dispatch::stage_effects& effects) -> void;
    auto end_placement(placed_service& service, const core::request_id& request,
                       dispatch::work_end how) -> void;

    event::loop& owner;
    const dispatch::serving_state& known;
    http1::client_pool& pool;
    event_log& log;
    dispatch::placement_limits limits;
    std::map<serving::service_name, std::shared_ptr<stage_service>> stages;
    std::map<serving::service_name, std::shared_ptr<placed_service>> placements;
    std::uint64_t last_ticket = 0;
    bool is_scheduled = false;
    event::timer ticker;
};

} // namespace almondtiller::gateway
