#include "services/gateway/store_follower.h"

#include "platform/adapter_errc.h"
#include "services/gateway/follower_limits.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondtiller::gateway {

store_follower::store_follower(event::loop& loop, http1::client_pool& calls,
                               const core::endpoint& address,
                               dispatch::serving_state& state, peer_mesh& peers,
                               event_log& logger,
                               std::function<void()> on_changed,
                               std::function<void()> on_registration,
                               orders_hook on_orders)
    : event_loop(loop),
      pool(calls),
      store(address),
      serving_state(state),
      mesh(peers),
      log(logger),
      notify_changed(std::move(on_changed)),
      notify_registered(std::move(on_registration)),
      notify_orders(std::move(on_orders)),
      registration(loop, calls, address, logger,
                   [this]() { this->notify_registered(); }),
      expiry_timer(loop, [this]() {
          this->update_following();
          if (this->serving_state.expire(this->event_loop.now())) {
              this->log.write(severity::notice, "upstreams_expired", {});
              this->notify_changed();
          }
      })
{
    using adapter::object_kind;
    const auto make = [this](object_kind kind, core::milliseconds pause,
                             store_mirror::hooks hooks) {
        hooks.watch_wait = [this, kind]() {
            return this->next_watch_wait(kind);
        };
        hooks.on_restored = [this](std::int64_t era) {
            this->on_store_restored(era);
        };
        hooks.on_failed = [this]() {
            this->on_store_failed();
        };
        this->mirrors.push_back(std::make_unique<store_mirror>(
            this->event_loop, this->pool, this->store, kind, pause, this->log,
            std::move(hooks)));
    };
    const auto make_hooks = [this](const std::function<void()>& on_read) {
        auto hooks = store_mirror::hooks();
        hooks.on_changes = [on_read](const auto&) {
            on_read();
        };
        hooks.on_list = [this, on_read]() {
            on_read();
            // A list may make the node ready although it changes nothing, for
            // example when it is empty.
            this->notify_changed();
        };
        return hooks;
    };
    make(object_kind::configurations, core::milliseconds(0),
         make_hooks([this]() { this->on_configuration(); }));
    auto upstream_hooks = make_hooks([this]() { this->on_upstream_list(); });
    upstream_hooks.on_changes = [this](const auto& changes) {
        this->on_upstream_changes(changes);
    };
    make(object_kind::upstreams, batch_pause, std::move(upstream_hooks));
    make(object_kind::evacuations, core::milliseconds(0),
         make_hooks([this]() { this->on_evacuations(); }));
    make(object_kind::nodes, batch_pause,
         make_hooks([this]() { this->on_nodes(); }));
    if (this->notify_orders) {
        make(object_kind::rollouts, core::milliseconds(0), make_hooks([this]() {
                 this->notify_orders(
                     this->mirror(object_kind::rollouts).objects());
             }));
    }
    this->mesh.handle(snapshot_topic, [this](const core::node_id&,
                                             const std::string& body,
                                             const peer_mesh::reply& answer) {
        answer(this->answer_request(decode_snapshot_request(body)));
        return std::function<void()>();
    });
}

auto store_follower::set_watchers(std::vector<core::node_id> nodes) -> void
{
    this->watchers = std::move(nodes);
    this->update_following();
}

auto store_follower::update_following() -> void
{
    const auto is_watcher =
        std::find(this->watchers.begin(), this->watchers.end(),
                  this->own_entry.node) != this->watchers.end();
    const auto has_live_watcher = std::any_of(
        this->watchers.begin(), this->watchers.end(),
        [this](const auto& node) { return this->mesh.is_alive(node); });
    const auto follows =
        is_watcher || !has_live_watcher || !this->is_complete();
    for (auto& mirror : this->mirrors) {
        mirror->set_following(follows || !mirror->has_list());
    }
}

auto store_follower::start(const adapter::node_entry& entry) -> void
{
    this->own_entry = entry;
    this->registration.set_entry(entry);
    for (auto& mirror : this->mirrors) {
        mirror->start();
    }
    this->expiry_timer.start_repeating(expiry_interval, expiry_interval);
}

auto store_follower::mirror(adapter::object_kind kind) -> store_mirror&
{
    return *this->mirrors[index_of(kind)];
}

auto store_follower::next_watch_wait(adapter::object_kind kind)
    -> core::milliseconds
{
    const auto step = kind == adapter::object_kind::rollouts
                          ? rollout_watch_wait_step
                          : watch_wait_step;
    auto rank = std::uint64_t(0);
    auto nodes = std::uint64_t(1);
    const auto count = [&](const core::node_id& node) {
        if (node != this->own_entry.node) {
            rank += node < this->own_entry.node ? 1 : 0;
            ++nodes;
        }
    };
    if (this->watchers.empty()) {
        this->mesh.visit([&](const auto& peer) { count(peer.entry.node); });
    } else {
        std::for_each(this->watchers.begin(), this->watchers.end(), count);
    }
    const auto turn = (rank + ++this->watch_count) % nodes;
    return std::min(step * std::int64_t(turn + 1), max_watch_wait);
}

auto store_follower::on_store_failed() -> void
{
    for (auto& mirror : this->mirrors) {
        mirror->restart_silent_call(max_watch_silence);
    }
}

auto store_follower::on_store_restored(std::int64_t era) -> void
{
    for (auto& mirror : this->mirrors) {
        mirror->require_era(era);
    }
}

auto store_follower::reappears_until() const -> std::optional<core::time_point>
{
    const auto outage =
        this->mirrors[index_of(adapter::object_kind::upstreams)]->last_outage();
    const auto until =
        outage.value_or(core::time_point()) + dispatch::reappearance_period;
    return outage && until > this->event_loop.now() ? std::optional(until)
                                                    : std::nullopt;
}

auto store_follower::since_store_failure() const -> std::string
{
    const auto failed = this->mirrors[index_of(adapter::object_kind::upstreams)]
                            ->last_failure();
    return failed == core::time_point()
               ? "none"
               : ms_text(this->event_loop.now() - failed);
}

auto store_follower::revisions() const -> std::vector<serving::store_revision>
{
    auto revisions = std::vector<serving::store_revision>();
    for (const auto& mirror : this->mirrors) {
        revisions.push_back(mirror->has_list() ? mirror->revision()
                                               : serving::store_revision());
    }
    return revisions;
}

auto store_follower::views() const -> std::vector<store_view>
{
    auto views = std::vector<store_view>();
    for (const auto& mirror : this->mirrors) {
        views.push_back({text_of(mirror->kind()), mirror->revision(),
                         mirror->is_connected(), mirror->calls_made()});
    }
    return views;
}

auto store_follower::is_complete() const -> bool
{
    using adapter::object_kind;
    return this->serving_state.config() != nullptr &&
           this->mirrors[index_of(object_kind::upstreams)]->has_list() &&
           this->mirrors[index_of(object_kind::evacuations)]->has_list() &&
           (!this->notify_orders ||
            this->mirrors[index_of(object_kind::rollouts)]->has_list());
}

auto store_follower::is_store_lost() const -> bool
{
    return std::any_of(this->mirrors.begin(), this->mirrors.end(),
                       [](const auto& mirror) {
                           return !mirror->is_connected() &&
                                  mirror->last_failure() != core::time_point();
                       });
}

auto store_follower::on_configuration() -> void
{
    const auto& objects =
        this->mirror(adapter::object_kind::configurations).objects();
    const auto found = objects.find(adapter::configuration_name);
    if (found == objects.end()) {
        return;
    }
    auto decoded = adapter::decode_configuration(found->second);
    if (!decoded) {
        this->log.write(
            severity::failure, "configuration_unreadable",
            {{"error", decoded.error().message()},
             {"revision", std::to_string(found->second.revision.number)}});
        return;
    }
    const auto version = decoded.value().version;
    const auto routes = decoded.value().routes.size();
    const auto limits = decoded.value().limits;
    if (this->serving_state.apply(
            std::make_shared<const serving::configuration>(
                std::move(decoded.value())))) {
        this->log.write(
            severity::notice, "configuration_in_force",
            {{"version", std::to_string(version)},
             {"revision", std::to_string(found->second.revision.number)},
             {"routes", std::to_string(routes)},
             {"header_timeout_ms", ms_text(limits.header_timeout)},
             {"idle_timeout_ms", ms_text(limits.idle_timeout)}});
        this->notify_changed();
    }
}

auto store_follower::apply_upstream(const adapter::stored_object& object,
                                    bool is_logged) -> bool
{
    const auto entry = adapter::decode_upstream(object);
    if (!entry) {
        this->log.write(
            severity::notice, "upstream_entry_rejected",
            {{"upstream", object.name}, {"error", entry.error().message()}});
        return false;
    }
    const auto& upstream = entry.value().upstream;
    if (!this->serving_state.update(upstream, entry.value().beat,
                                    this->event_loop.now())) {
        return false;
    }
    if (!is_logged) {
        return true;
    }
    this->log.write(severity::notice, "upstream_changed",
                    {{"upstream", upstream.id.str()},
                     {"service", upstream.service.str()},
                     {"zone", upstream.zone.str()},
                     {"version", upstream.version},
                     {"draining", upstream.is_draining ? "yes" : "no"},
                     {"cold_ms", ms_text(upstream.cold_left)}});
    return true;
}

auto store_follower::on_upstream_changes(
    const std::vector<adapter::object_change>& changes) -> void
{
    auto is_changed = false;
    for (const auto& change : changes) {
        if (!change.is_removed) {
            is_changed = this->apply_upstream(change.object) || is_changed;
            continue;
        }
        const auto id = core::upstream_id(change.object.name);
        const auto kept_until = this->reappears_until();
        is_changed = this->serving_state.remove(id, kept_until) || is_changed;
        this->log.write(
            severity::notice, "upstream_removed",
            {{"upstream", id.str()},
             {"revision", std::to_string(change.object.revision.number)},
             {"trusted", kept_until ? "no" : "yes"},
             {"since_store_failure_ms", this->since_store_failure()}});
    }
    if (is_changed) {
        this->notify_changed();
    }
}

auto store_follower::on_upstream_list() -> void
{
    auto listed = std::set<core::upstream_id>();
    auto is_changed = false;
    const auto& objects =
        this->mirror(adapter::object_kind::upstreams).objects();
    const auto is_logged = !this->serving_state.upstreams().empty() ||
                           objects.size() <= max_logged_first_list;
    for (const auto& [name, object] : objects) {
        listed.emplace(name);
        is_changed = this->apply_upstream(object, is_logged) || is_changed;
    }
    const auto kept_until = this->reappears_until();
    const auto known = this->serving_state.upstreams().size();
    is_changed =
        this->serving_state.apply_list(listed, kept_until) || is_changed;
    this->log.write(severity::notice, "upstreams_listed",
                    {{"listed", std::to_string(listed.size())},
                     {"known_before", std::to_string(known)},
                     {"trusted", kept_until ? "no" : "yes"},
                     {"since_store_failure_ms", this->since_store_failure()}});
    if (is_changed) {
        this->notify_changed();
    }
}

auto store_follower::on_evacuations() -> void
{
    auto zones = std::set<core::zone_name>();
    auto text = std::string();
    for (const auto& [name, object] :
         this->mirror(adapter::object_kind::evacuations).objects()) {
        zones.emplace(name);
        text += (text.empty() ? "" : ",") + name;
    }
    if (this->serving_state.set_evacuated(std::move(zones))) {
        this->log.write(severity::notice, "evacuated_zones", {{"zones", text}});
        this->notify_changed();
    }
}

auto store_follower::on_nodes() -> void
{
    auto members = std::vector<adapter::node_entry>();
    for (const auto& [name, object] :
         this->mirror(adapter::object_kind::nodes).objects()) {
        if (const auto entry = adapter::decode_node(object)) {
            members.push_back(entry.value());
        } else {
            this->log.write(
                severity::notice, "node_entry_rejected",
                {{"peer", name}, {"error", entry.error().message()}});
        }
    }
    this->mesh.set_members(members);
    const auto& mirror = this->mirror(adapter::object_kind::nodes);
    this->registration.on_entries(mirror.objects(), mirror.revision());
}

auto store_follower::announce() -> void
{
    this->registration.announce();
}

auto store_follower::withdraw() -> void
{
    this->registration.withdraw();
}

auto store_follower::is_registered() const -> bool
{
    return this->registration.is_registered();
}

} // namespace almondtiller::gateway
