#include "services/gateway/gateway.h"

#include "event/tcp_listener.h"
#include "platform/caller_messages.h"
#include "services/gateway/directory_choice.h"
#include "services/gateway/owner_choice.h"
#include "services/gateway/request_flow.h"
#include "services/gateway/store_follower.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// How long callers keep an answer of the directory; some keep it three
/// times as long.
constexpr auto directory_lifetime = core::milliseconds(2000);
/// A leaving node takes requests that long, as callers still know it.
constexpr auto accept_while_leaving = core::milliseconds(3500);
/// Requests end that long before the process is killed.
constexpr auto stop_margin = core::milliseconds(700);
/// Idle connections of callers close that long after leaving began.
constexpr auto idle_while_leaving = core::milliseconds(2500);
/// Two nodes may own a service for a while, each with its own budget; and a
/// window may hold half of the first sends that a repeat was allowed for.
constexpr auto own_share_of_budget = 0.5;
constexpr auto sweep_interval = core::milliseconds(2000);
constexpr auto not_ready_retry = core::milliseconds(300);
constexpr auto leave_check = core::milliseconds(50);

constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto unauthorized = 401;
constexpr auto not_found = 404;
constexpr auto unavailable = 503;

} // namespace

struct node::state
{
    event::loop& owner;
    serving::node_settings settings;
    event_log& log;
    flow_metrics metrics;
    std::function<void()> on_stopped;
    core::random_source random{core::system_seed()};
    dispatch::serving_state known;
    http1::client_pool pool;
    peer_mesh mesh;
    dispatcher local;
    dispatch_client client;
    store_follower follower;
    flow_context shared;
    std::vector<std::unique_ptr<event::tcp_listener>> listeners;
    std::set<std::shared_ptr<http1::server_connection>> connections;
    std::set<std::weak_ptr<request_flow>, std::owner_less<>> flows;
    std::map<core::node_id, node_status> peer_status;
    event::timer sweeper;
    event::timer leaver;
    bool is_ready = false;
    bool is_leaving = false;
    core::time_point leave_started;

    state(event::loop& loop, serving::node_settings given, event_log& lines,
          core::metrics_registry& registry, std::function<void()> stopped)
        : owner(loop),
          settings(std::move(given)),
          log(lines),
          metrics(registry),
          on_stopped(std::move(stopped)),
          pool(loop),
          mesh(loop, this->own_entry(), lines),
          local(loop, this->known, this->pool, lines,
                {this->settings.retry_ratio * own_share_of_budget,
                 this->settings.retry_extra * own_share_of_budget,
                 this->settings.retry_window, this->settings.cold_factor,
                 this->settings.cold_extra}),
          client(loop, this->settings.node, this->mesh, this->local, lines),
          follower(loop, this->pool, this->settings.store, this->known,
                   this->mesh, lines, [this]() { this->on_known_changed(); }),
          shared{loop,  this->known,   this->client, this->pool,
                 lines, this->metrics, this->random},
          sweeper(loop, [this]() { this->sweep(); }),
          leaver(loop, [this]() { this->go_on_leaving(); })
    {}

    [[nodiscard]] auto own_entry() -> adapter::node_entry
    {
        return {this->settings.node, this->settings.zone, this->settings.peers,
                this->random.hex_id()};
    }

    [[nodiscard]] auto own_status() const -> node_status
    {
        return {this->is_ready, this->settings.front, this->settings.zone,
                this->own_capacity(), this->follower.revisions()};
    }

    [[nodiscard]] auto own_capacity() const -> node_capacity
    {
        return {this->settings.cores, this->settings.link_mbps};
    }

    auto on_known_changed() -> void
    {
        this->local.refresh();
        this->update_ready();
    }

    auto update_ready() -> void
    {
        const auto ready = this->follower.is_complete() && !this->is_leaving;
        if (std::exchange(this->is_ready, ready) == ready) {
            return;
        }
        this->log.write(severity::notice, ready ? "ready" : "not_ready", {});
        this->update_candidates();
        this->mesh.beat_now();
    }

    auto update_candidates() -> void
    {
        auto live = std::vector<owner_candidate>();
        if (this->is_ready) {
            live.push_back({this->settings.node, this->own_capacity()});
        }
        for (const auto& peer : this->mesh.peers()) {
            const auto status = this->peer_status.find(peer.entry.node);
            if (peer.is_alive && status != this->peer_status.end() &&
                status->second.is_ready) {
                live.push_back({peer.entry.node, status->second.capacity});
            }
        }
        const auto owners = choose_owners(live);
        this->follower.set_watchers(choose_watchers(owners, live.size()));
        this->client.set_candidates(owners);
    }

    auto on_peer_status(const core::node_id& peer, const std::string& text)
        -> void
    {
        const auto status = decode_status(text);
        if (!status) {
            return;
        }
        auto& kept = this->peer_status[peer];
        const auto is_turn = kept.is_ready != status.value().is_ready;
        kept = status.value();
        if (is_turn) {
            this->update_candidates();
        }
        this->follower.on_peer_revisions(peer, kept.revisions);
    }

    auto start() -> std::error_code
    {
        this->mesh.set_status([this]() { return encode(this->own_status()); });
        this->mesh.on_status([this](const auto& peer, const auto& text) {
            this->on_peer_status(peer, text);
        });
        this->mesh.on_change([this]() { this->update_candidates(); });
        this->mesh.on_sender_lost(
            [this](const auto& peer) { this->local.drop_origin(peer); });
        serve_peers(this->mesh, this->local, this->owner);
        if (const auto error = this->mesh.listen()) {
            return error;
        }
        if (const auto error = this->listen_all()) {
            return error;
        }
        this->follower.start();
        this->follower.announce(this->own_entry());
        this->sweeper.start_repeating(sweep_interval, sweep_interval);
        return {};
    }

    auto listen_all() -> std::error_code
    {
        using handler =
            void (state::*)(const http1::request_message&,
                            const std::shared_ptr<http1::exchange>&);
        const auto open = [this](const core::endpoint& address,
                                 handler handles) {
            return this->listen(address,
                                [this, handles](auto message, auto exchange) {
                                    (this->*handles)(message, exchange);
                                });
        };
        if (const auto error =
                open(this->settings.front, &state::on_front_request)) {
            return error;
        }
        if (const auto error =
                open(this->settings.readiness, &state::on_readiness_check)) {
            return error;
        }
        if (this->settings.directory != this->settings.readiness &&
            this->settings.directory != this->settings.front) {
            if (const auto error = open(this->settings.directory,
                                        &state::on_directory_request)) {
                return error;
            }
        }
        if (const auto error =
                open(this->settings.metrics, &state::on_metrics_request)) {
            this->log.write(severity::notice, "metrics_not_served",
                            {{"error", error.message()}});
        }
        return {};
    }

    auto listen(const core::endpoint& address,
                std::function<void(http1::request_message,
                                   std::shared_ptr<http1::exchange>)>
                    on_request) -> std::error_code
    {
        auto options = std::make_shared<http1::server_options>();
        options->on_request = std::move(on_request);
        const auto limits = [this]() {
            return this->known.config() ? this->known.config()->limits
                                        : serving::caller_limits();
        };
        options->limits = [limits]() {
            return limits().parser;
        };
        options->header_timeout = [limits]() {
            return limits().header_timeout;
        };
        options->idle_timeout = [limits]() {
            return limits().idle_timeout + std::chrono::seconds(1);
        };
        options->is_draining = [this]() {
            return this->is_leaving;
        };
        options->on_closed = [this](const auto& connection) {
            this->connections.erase(connection);
        };
        options->on_bad_request = [this](std::error_code error) {
            this->metrics.count_outcome("malformed", error.message());
            this->log.write(severity::failure, "malformed_request",
                            {{"error", error.message()}});
        };
        const auto kept =
            std::shared_ptr<const http1::server_options>(std::move(options));
        auto listener = std::make_unique<event::tcp_listener>(
            this->owner, [this, kept](auto stream) {
                auto connection = std::make_shared<http1::server_connection>(
                    this->owner, std::move(stream), kept);
                this->connections.insert(connection);
                connection->start();
            });
        const auto error = listener->listen(address);
        this->listeners.push_back(std::move(listener));
        return error;
    }

    auto on_readiness_check(const http1::request_message& message,
                            const std::shared_ptr<http1::exchange>& exchange)
        -> void
    {
        if (adapter::decode_directory_question(message)) {
            this->on_directory_request(message, exchange);
            return;
        }
        exchange->respond(this->is_ready ? ok : unavailable, {}, "");
    }

    auto on_metrics_request(const http1::request_message& message,
                            const std::shared_ptr<http1::exchange>& exchange)
        -> void
    {
        static_cast<void>(message);
        exchange->respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                          this->metrics.expose());
    }

    auto on_directory_request(const http1::request_message& message,
                              const std::shared_ptr<http1::exchange>& exchange)
        -> void
    {
        const auto question = adapter::decode_directory_question(message);
        if (!question) {
            exchange->respond(not_found, {}, "");
            return;
        }
        auto ready = std::vector<front_node>();
        if (this->is_ready) {
            ready.push_back({this->settings.zone, this->settings.front});
        }
        for (const auto& peer : this->mesh.peers()) {
            const auto status = this->peer_status.find(peer.entry.node);
            if (peer.is_alive && status != this->peer_status.end() &&
                status->second.is_ready) {
                ready.push_back({status->second.zone, status->second.front});
            }
        }
        if (ready.empty()) {
            exchange->respond(unavailable, {}, "");
            return;
        }
        exchange->respond(ok, {{"Content-Type", "application/json"}},
                          adapter::encode_directory_answer(
                              choose_fronts(std::move(ready), question->zone),
                              directory_lifetime));
    }

    auto reject(const std::shared_ptr<http1::exchange>& exchange,
                const core::request_id& request, int status,
                std::string_view reason,
                std::optional<core::milliseconds> retry_after) -> void
    {
        exchange->respond(
            status, adapter::own_answer_headers(request, retry_after), "");
        this->metrics.count_outcome("rejected", reason);
        const auto& config = this->known.config();
        this->log.write(severity::failure, "rejected",
                        {{"request", request.str()},
                         {"reason", std::string(reason)},
                         {"status", std::to_string(status)},
                         {"config", config ? std::to_string(config->version)
                                           : std::string("none")}});
    }

    auto on_front_request(const http1::request_message& message,
                          const std::shared_ptr<http1::exchange>& exchange)
        -> void
    {
        auto decoded = adapter::decode_request(message);
        if (!decoded) {
            this->reject(exchange, {}, bad_request, "no_request_id",
                         std::nullopt);
            return;
        }
        auto& request = decoded.value();
        const auto leaves_soon =
            this->is_leaving &&
            this->owner.now() - this->leave_started > accept_while_leaving;
        if (!this->follower.is_complete() || leaves_soon) {
            this->reject(exchange, request.id, unavailable,
                         leaves_soon ? "leaving" : "not_ready",
                         not_ready_retry);
            return;
        }
        const auto config = this->known.config();
        const auto* route = config->find_route(request.host, request.target);
        if (route == nullptr) {
            this->reject(exchange, request.id, not_found, "no_route",
                         std::nullopt);
            return;
        }
        const serving::workspace* workspace = nullptr;
        if (config->has_workspaces && route->needs_key) {
            workspace = config->find_workspace(request.api_key);
            if (workspace == nullptr) {
                this->reject(exchange, request.id, unauthorized, "unknown_key",
                             std::nullopt);
                return;
            }
        }
        auto flow =
            std::make_shared<request_flow>(this->shared, std::move(request),
                                           exchange, config, *route, workspace);
        this->flows.insert(flow);
        flow->start();
    }

    auto sweep() -> void
    {
        this->pool.sweep([this](const std::string& key) {
            return key == "store" ||
                   this->known.upstreams().contains(core::upstream_id(key));
        });
        std::erase_if(this->flows,
                      [](const auto& flow) { return flow.expired(); });
    }

    auto leave() -> void
    {
        if (std::exchange(this->is_leaving, true)) {
            return;
        }
        this->leave_started = this->owner.now();
        this->log.write(severity::notice, "leaving", {});
        this->update_ready();
        this->follower.withdraw(this->settings.node);
        this->leaver.start(leave_check);
    }

    auto go_on_leaving() -> void
    {
        const auto elapsed = this->owner.now() - this->leave_started;
        std::erase_if(this->flows,
                      [](const auto& flow) { return flow.expired(); });
        if (elapsed > this->settings.grace - stop_margin) {
            for (const auto& flow : this->flows) {
                if (const auto open = flow.lock()) {
                    open->stop();
                }
            }
            this->finish_leaving();
            return;
        }
        if (elapsed > idle_while_leaving) {
            const auto open = this->connections;
            for (const auto& connection : open) {
                connection->close_if_idle();
            }
            if (this->flows.empty() && elapsed > accept_while_leaving) {
                this->finish_leaving();
                return;
            }
        }
        this->leaver.start(leave_check);
    }

    auto finish_leaving() -> void
    {
        this->log.write(severity::notice, "stopped", {});
        this->listeners.clear();
        // What was written last must reach the callers.
        constexpr auto linger = core::milliseconds(100);
        this->leaver.stop();
        auto last = std::make_shared<std::unique_ptr<event::timer>>();
        *last = std::make_unique<event::timer>(
            this->owner, [this, last]() { this->on_stopped(); });
        (*last)->start(linger);
    }
};

node::node(event::loop& owner, serving::node_settings settings, event_log& log,
           core::metrics_registry& metrics, std::function<void()> on_stopped)
    : data(std::make_unique<state>(owner, std::move(settings), log, metrics,
                                   std::move(on_stopped)))
{}

node::~node() = default;

auto node::start() -> std::error_code
{
    return this->data->start();
}

auto node::leave() -> void
{
    this->data->leave();
}

auto node::reload(const serving::node_settings& settings) -> void
{
    // Addresses and names are fixed for a process.
    this->data->settings.grace = settings.grace;
    this->data->settings.max_directory_ttl = settings.max_directory_ttl;
}

} // namespace almondtiller::gateway
