#include "services/gateway/node_state.h"

#include "platform/caller_messages.h"
#include "services/gateway/directory_choice.h"
#include "services/gateway/owner_choice.h"
#include "services/gateway/speed_log.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway {

auto node::state::own_entry() const -> adapter::node_entry
{
    auto entry = adapter::node_entry();
    entry.node = this->settings.node;
    entry.zone = this->settings.zone;
    entry.peers = this->settings.peers;
    entry.incarnation = this->incarnation;
    entry.front = this->settings.front;
    entry.cores = this->settings.cores;
    entry.link_mbps = this->settings.link_mbps;
    return entry;
}

auto node::state::own_status() const -> node_status
{
    return {this->is_ready,
            this->settings.front,
            this->settings.zone,
            this->own_capacity(),
            this->follower.revisions(),
            this->serving_state.config() ? this->serving_state.config()->version
                                         : 0,
            this->incarnation,
            this->crashes.quarantined_parts(),
            this->crashes.quarantined_requests()};
}

auto node::state::status_text() -> const std::string&
{
    // The status is sent about ten times a second and changes far less often,
    // so its encoded form is cached.
    auto current = this->own_status();
    if (this->cached_status != current || this->cached_status_text.empty()) {
        this->cached_status_text = encode(current);
        this->cached_status = std::move(current);
    }
    return this->cached_status_text;
}

auto node::state::own_capacity() const -> node_capacity
{
    return {this->settings.cores, this->settings.link_mbps};
}

auto node::state::view() const -> node_view
{
    auto view = node_view();
    view.is_ready = this->is_ready;
    this->mesh.visit([&view](const auto& peer) {
        view.peers_alive += peer.is_alive ? 1 : 0;
    });
    view.requests_in_flight = std::size_t(
        std::count_if(this->flows.begin(), this->flows.end(),
                      [](const auto& flow) { return !flow.expired(); }));
    view.upstream_connections = this->pool.opened();
    view.log_lines_dropped = this->log.dropped();
    view.quarantined_parts = this->crashes.quarantined_parts().size();
    view.quarantined_requests = this->crashes.quarantined_requests().size();
    view.upstream_crashes = this->crashes.crash_count();
    view.services = this->local.loads();
    view.store = this->follower.views();
    return view;
}

auto node::state::make_verdict_hook() -> verdict_hook
{
    return [this](const auto& upstream, const auto& verdict, auto sent_at) {
        this->on_verdict(upstream, verdict, sent_at);
    };
}

auto node::state::on_verdict(const core::upstream_id& upstream,
                             const serving::upstream_verdict& verdict,
                             core::time_point sent_at) -> void
{
    if (verdict.hold_off.count() > 0) {
        this->serving_state.hold_off(upstream,
                                     this->event_loop.now() + verdict.hold_off);
        this->log.write(severity::notice, "upstream_held_off",
                        {{"upstream", upstream.str()},
                         {"for_ms", ms_text(verdict.hold_off)}});
    }
    if (verdict.request_limit) {
        this->on_stated_limit(
            {upstream, verdict.request_limit, this->event_loop.now()});
    } else if (verdict.is_genuine) {
        this->on_stated_limit({upstream, std::nullopt, sent_at});
    }
    if (verdict.is_genuine && verdict.load.slowdown_percent) {
        this->local.enable_speeds();
        this->client.keep_speed(
            {upstream, to_statement(*verdict.load.slowdown_percent,
                                    this->event_loop.now())});
    }
    if (!verdict.is_leaving || !this->on_leaving(upstream, "answer")) {
        return;
    }
    const auto entry = this->serving_state.upstreams().find(upstream);
    if (entry != this->serving_state.upstreams().end()) {
        this->client.report_leaving(entry->second.upstream);
    }
}

auto node::state::on_stated_limit(const limit_report& limit) -> void
{
    const auto is_known = this->serving_state.limits().contains(limit.upstream);
    if (!limit.per_second && !is_known) {
        return;
    }
    this->on_request_limit(limit, "answer");
    const auto entry = this->serving_state.upstreams().find(limit.upstream);
    if (entry != this->serving_state.upstreams().end()) {
        this->client.report_limit(entry->second.upstream, limit);
    }
}

auto node::state::on_request_limit(const limit_report& limit,
                                   std::string_view source) -> void
{
    const auto is_changed =
        limit.per_second
            ? this->serving_state.set_limit(limit.upstream,
                                            {*limit.per_second, limit.at})
            : this->serving_state.end_limit(limit.upstream, limit.at);
    if (!is_changed) {
        return;
    }
    this->log.write(
        severity::notice,
        limit.per_second ? "upstream_limited" : "upstream_limit_ended",
        {{"upstream", limit.upstream.str()},
         {"per_second",
          limit.per_second ? std::to_string(*limit.per_second) : "none"},
         {"source", std::string(source)}});
    this->on_serving_state_changed();
}

auto node::state::on_leaving(const core::upstream_id& upstream,
                             std::string_view source) -> bool
{
    if (!this->serving_state.mark_leaving(upstream, this->event_loop.now())) {
        return false;
    }
    this->log.write(
        severity::notice, "upstream_leaving",
        {{"upstream", upstream.str()}, {"source", std::string(source)}});
    this->on_serving_state_changed();
    return true;
}

auto node::state::on_serving_state_changed() -> void
{
    if (this->rollouts) {
        this->rollouts->refresh();
    }
    this->local.refresh();
    this->update_ready();
}

auto node::state::update_ready() -> void
{
    const auto ready = this->follower.is_complete() && !this->is_leaving;
    if (std::exchange(this->is_ready, ready) == ready) {
        return;
    }
    this->log.write(severity::notice, ready ? "ready" : "not_ready", {});
    if (ready) {
        this->mesh.join();
        this->follower.announce();
    }
    this->update_candidates();
    this->mesh.send_heartbeat_now();
}

auto node::state::visit_ready_nodes(
    const std::function<void(const ready_node&)>& hook) const -> void
{
    if (this->is_ready) {
        hook({this->settings.node, this->settings.zone, this->settings.front,
              this->own_capacity()});
    }
    this->mesh.visit([&](const peer_view& peer) {
        const auto reported = this->peer_status.find(peer.entry.node);
        const auto* latest =
            reported == this->peer_status.end() || reported->second.text.empty()
                ? nullptr
                : &reported->second;
        if (const auto ready = as_ready(peer, latest)) {
            hook(*ready);
        }
    });
}

auto node::state::update_candidates() -> void
{
    auto live = std::vector<owner_candidate>();
    this->visit_ready_nodes([this, &live](const ready_node& node) {
        // The other nodes do not count this one while they do not know it. It
        // would be a second owner.
        if (node.node == this->settings.node &&
            !this->follower.is_registered()) {
            return;
        }
        live.push_back({node.node, node.zone, node.capacity});
    });
    const auto owners = choose_owners(live);
    const auto watchers = choose_watchers(owners, live.size());
    this->follower.set_watchers(watchers);
    this->crashes.set_watchers(watchers);
    this->mesh.set_pinned(choose_sources(watchers, this->settings.node, owners,
                                         this->settings.zone));
    this->client.set_candidates(owners);
    if (this->serving_state.has_shared_rates(this->event_loop.now())) {
        // Which upstreams this node may use depends on the shards that it owns.
        this->local.refresh();
    }
}

auto node::state::on_peer_status(const core::node_id& peer,
                                 const std::string& text) -> void
{
    const auto view = this->mesh.find(peer);
    auto& reported = this->peer_status[peer];
    const auto is_same = reported.text == text &&
                         reported.entry_incarnation == view.entry.incarnation;
    if (!is_same) {
        const auto status = decode_status(text);
        if (!status) {
            this->log.write(
                severity::notice, "peer_status_unreadable",
                {{"peer", peer.str()}, {"error", status.error().message()}});
            return;
        }
        const auto before =
            as_ready(view, reported.text.empty() ? nullptr : &reported);
        reported = {text, status.value(), view.entry.incarnation};
        this->crashes.adopt(peer, status.value().quarantined,
                            status.value().quarantined_requests);
        if (as_ready(view, &reported) != before) {
            this->update_candidates();
        }
    }
    const auto& reported_status = reported.status;
    this->follower.on_peer_revisions(peer, reported_status.revisions);
    this->follower.on_peer_configuration(peer, reported_status.configuration);
}

auto node::state::start() -> std::error_code
{
    this->mesh.set_guard(this->overload);
    this->mesh.set_status([this]() { return this->status_text(); });
    this->mesh.on_status([this](const auto& peer, const auto& text) {
        this->on_peer_status(peer, text);
    });
    this->mesh.on_change([this]() { this->update_candidates(); });
    this->mesh.on_caller_lost(
        [this](const auto& peer) { this->local.cancel_work_of(peer); });
    this->local.set_leaving_hook([this](const auto& upstream) {
        static_cast<void>(this->on_leaving(upstream, "peer"));
    });
    this->local.set_limit_hook(
        [this](const auto& limit) { this->on_request_limit(limit, "peer"); });
    this->local.set_owner_check([this](const dispatch::shard& part) {
        return this->client.owner_of(part.service, part.zone) ==
               this->settings.node;
    });
    this->client.set_limit_hook([this](const auto& limit) {
        // A grant is no statement of the upstream, so it must not keep answers
        // to earlier requests from ending a limit that is known.
        if (!this->serving_state.limits().contains(limit.upstream)) {
            this->on_request_limit(limit, "owner");
        }
    });
    if (this->settings.has_fair_sharing) {
        this->local.enable_room_reports();
    }
    serve_peers(this->mesh, this->local, this->event_loop, this->log);
    this->crashes.serve();
    this->serve_rollouts();
    this->listen_steps = this->make_listen_steps();
    return this->continue_start();
}

node::node(event::loop& event_loop, serving::node_settings settings,
           event_log& log, core::metrics_registry& metrics,
           std::function<void()> on_stopped)
    : data(std::make_unique<state>(event_loop, std::move(settings), log,
                                   metrics, std::move(on_stopped)))
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
    // Addresses and names cannot change while the process runs.
    this->data->settings.grace = settings.grace;
    this->data->settings.max_directory_ttl = settings.max_directory_ttl;
}

} // namespace almondtiller::gateway
