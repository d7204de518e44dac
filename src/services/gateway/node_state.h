#pragma once

#include "event/tcp_listener.h"
#include "services/gateway/crash_monitor.h"
#include "services/gateway/flow_limits.h"
#include "services/gateway/gateway.h"
#include "services/gateway/ready_nodes.h"
#include "services/gateway/request_flow.h"
#include "services/gateway/store_follower.h"
#include "services/overload/overload_guard.h"
#include "services/rollout/rollout_service.h"

#include <set>
#include <utility>

namespace almondtiller::gateway {

/// Time for which callers may cache a directory answer; some cache it three
/// times as long.
inline constexpr auto directory_lifetime = core::milliseconds(2000);
/// Minimum time for which a leaving node continues to serve, because callers
/// still have its address in cached directory answers.
inline constexpr auto min_leave_time = core::milliseconds(3500);
/// Requests in flight are stopped this long before the grace period ends and
/// the platform kills the process.
inline constexpr auto stop_margin = core::milliseconds(700);
/// Time from the start of leaving until idle connections of callers are
/// closed.
inline constexpr auto idle_close_delay = core::milliseconds(2500);
/// Share of the retry budget that one node uses. Two nodes may own a service
/// for a while, each with its own budget, and a window may contain only half of
/// the first sends for which a retry was allowed.
inline constexpr auto retry_budget_share = 0.5;
inline constexpr auto listen_retry_delay = core::milliseconds(100);
inline constexpr auto sweep_interval = core::milliseconds(2000);
/// Retry-After of requests that a leaving node rejects. It is short because
/// most callers already have the addresses of other nodes and retry there.
inline constexpr auto leaving_retry_after = core::milliseconds(300);
/// Retry-After of requests that are refused because the node holds too much. It
/// is longer than most requests take.
inline constexpr auto overload_retry_after = core::milliseconds(1000);
inline constexpr auto leave_check_interval = core::milliseconds(50);

inline constexpr auto ok = 200;
inline constexpr auto unauthorized = 401;
inline constexpr auto not_found = 404;

struct node::state
{
    event::loop& event_loop;
    serving::node_settings settings;
    event_log& log;
    core::metrics_registry& registry;
    flow_metrics metrics;
    std::function<void()> on_stopped;
    core::random_source random{core::system_seed()};
    /// Distinguishes this process from earlier ones of the same node.
    std::string incarnation{this->random.hex_id()};
    dispatch::serving_state serving_state;
    overload::overload_guard overload;
    http1::client_pool pool;
    peer_mesh mesh;
    dispatcher local;
    dispatch_client client;
    store_follower follower;
    /// nullptr unless the settings have rollouts.
    std::unique_ptr<rollout::rollout_service> rollouts;
    crash_monitor crashes;
    flow_context shared;
    std::vector<std::unique_ptr<event::tcp_listener>> listeners;
    std::map<std::shared_ptr<http1::server_connection>,
             memory_budget::holder_id>
        connections;
    std::set<std::weak_ptr<request_flow>, std::owner_less<>> flows;
    std::map<core::node_id, reported_status> peer_status;
    node_status cached_status;
    std::string cached_status_text;
    std::vector<std::function<std::error_code()>> listen_steps;
    bool is_address_taken = false;
    event::timer listen_timer;
    event::timer sweep_timer;
    event::timer leave_timer;
    event::timer stop_timer;
    bool is_ready = false;
    bool is_leaving = false;
    core::time_point leave_started;

    state(event::loop& loop, serving::node_settings initial_settings,
          event_log& logger, core::metrics_registry& all_metrics,
          std::function<void()> on_stop)
        : event_loop(loop),
          settings(std::move(initial_settings)),
          log(logger),
          registry(all_metrics),
          metrics(all_metrics),
          on_stopped(std::move(on_stop)),
          overload(loop, all_metrics,
                   memory_budget::limits_for(this->settings.memory_bytes,
                                             this->settings.max_descriptors),
                   [this](bool begins) {
                       this->log.write(
                           severity::notice,
                           begins ? "overload_begins" : "overload_ends", {});
                   }),
          pool(loop),
          mesh(loop, this->own_entry(), logger),
          local(loop, this->serving_state, this->pool, logger, this->metrics,
                {this->settings.retry_ratio * retry_budget_share,
                 this->settings.retry_allowance * retry_budget_share,
                 this->settings.retry_window, this->settings.cold_factor,
                 this->settings.cold_extra, this->settings.has_fair_sharing},
                this->make_verdict_hook()),
          client(loop, this->settings.node, this->mesh, this->serving_state,
                 this->local, logger),
          follower(
              loop, this->pool, this->settings.store, this->serving_state,
              this->mesh, logger,
              [this]() { this->on_serving_state_changed(); },
              [this]() { this->update_candidates(); },
              this->make_orders_hook()),
          rollouts(this->make_rollouts()),
          crashes(loop, this->mesh, logger,
                  [this]() { this->mesh.send_heartbeat_now(); }),
          shared{loop,
                 this->serving_state,
                 this->client,
                 this->pool,
                 this->crashes,
                 logger,
                 this->metrics,
                 this->random,
                 this->make_verdict_hook(),
                 this->rollouts.get()},
          listen_timer(loop, [this]() { this->retry_start(); }),
          sweep_timer(loop, [this]() { this->sweep(); }),
          leave_timer(loop, [this]() { this->continue_leaving(); }),
          stop_timer(loop, [this]() { this->on_stopped(); })
    {}
    ~state()
    {
        // A connection is kept alive by the request that it serves until it is
        // closed.
        const auto open = std::exchange(this->connections, {});
        for (const auto& [connection, holder] : open) {
            connection->close();
        }
    }
    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;

    [[nodiscard]] auto own_entry() const -> adapter::node_entry;
    [[nodiscard]] auto own_status() const -> node_status;
    /// \return own_status() as encoded for peers.
    auto status_text() -> const std::string&;
    [[nodiscard]] auto own_capacity() const -> node_capacity;
    [[nodiscard]] auto view() const -> node_view;
    [[nodiscard]] auto make_verdict_hook() -> verdict_hook;
    [[nodiscard]] auto make_orders_hook() -> store_follower::orders_hook;
    [[nodiscard]] auto make_rollouts()
        -> std::unique_ptr<rollout::rollout_service>;
    auto write_rollout_status(const std::string& name,
                              const adapter::rollout_status& status,
                              const serving::store_revision& revision,
                              const rollout::status_writer::respond& done)
        -> void;
    /// \return The results of a stage at the upstreams for which \a rule holds:
    ///         those that this node as the owner of the stage keeps track of,
    ///         or those that its own requests need, whichever are more. A new
    ///         owner does not know the results of the one before.
    [[nodiscard]] auto held_results(const serving::service_name& service,
                                    const dispatch::upstream_rule& rule) const
        -> std::size_t;
    /// Lets the other nodes and the dispatcher of this node take part in
    /// rollouts.
    auto serve_rollouts() -> void;
    auto on_verdict(const core::upstream_id& upstream,
                    const serving::upstream_verdict& verdict,
                    core::time_point sent_at) -> void;
    /// Records the request limit of an upstream, or its end.
    /// \param source Origin of the information, for the log.
    auto on_request_limit(const limit_report& limit, std::string_view source)
        -> void;
    /// An answer has stated a request limit, or none.
    auto on_stated_limit(const limit_report& limit) -> void;
    /// Marks an upstream as leaving.
    /// \param source Origin of the information, for the log.
    /// \return Whether the upstream was not marked before.
    auto on_leaving(const core::upstream_id& upstream, std::string_view source)
        -> bool;
    auto on_serving_state_changed() -> void;
    auto update_ready() -> void;
    /// Calls \a hook for each node that is known to accept requests, this one
    /// included.
    auto
    visit_ready_nodes(const std::function<void(const ready_node&)>& hook) const
        -> void;
    auto update_candidates() -> void;
    auto on_peer_status(const core::node_id& peer, const std::string& text)
        -> void;
    auto start() -> std::error_code;
    /// \return The calls that open the node's addresses, in order.
    auto make_listen_steps() -> std::vector<std::function<std::error_code()>>;
    /// Opens the remaining addresses, then begins to follow the store. An
    /// address that another process has, such as the predecessor that is still
    /// finishing its requests, is tried again until it is free.
    /// \return An error that trying again does not mend.
    auto continue_start() -> std::error_code;
    auto retry_start() -> void;
    auto listen(const core::endpoint& address,
                std::function<void(http1::request_message,
                                   std::shared_ptr<http1::exchange>)>
                    on_request,
                memory_budget::port_group group) -> std::error_code;
    auto accept(std::shared_ptr<event::tcp_stream> stream,
                const std::shared_ptr<const http1::server_options>& options,
                memory_budget::port_group group) -> void;
    auto on_readiness_check(const http1::request_message& message,
                            const std::shared_ptr<http1::exchange>& exchange)
        -> void;
    auto on_metrics_request(const http1::request_message& message,
                            const std::shared_ptr<http1::exchange>& exchange)
        -> void;
    auto on_directory_request(const http1::request_message& message,
                              const std::shared_ptr<http1::exchange>& exchange)
        -> void;
    auto reject(const std::shared_ptr<http1::exchange>& exchange,
                const core::request_id& request, int status,
                std::string_view reason,
                std::optional<core::milliseconds> retry_after) -> void;
    /// \return Whether the node accepts the request; always true unless the
    ///         node is leaving.
    [[nodiscard]] auto accepts(const serving::caller_request& request,
                               const serving::route& route) const -> bool;
    auto on_front_request(const http1::request_message& message,
                          const std::shared_ptr<http1::exchange>& exchange)
        -> void;
    auto sweep() -> void;
    auto leave() -> void;
    auto continue_leaving() -> void;
    auto finish_leaving() -> void;
};

} // namespace almondtiller::gateway
