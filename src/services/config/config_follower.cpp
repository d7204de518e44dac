#include "services/config/config_follower.h"

#include "fleet/fleet_errc.h"
#include "fleet/peer_call.h"
#include "fleet/watcher_choice.h"
#include "platform/platform_errc.h"

#include <algorithm>
#include <utility>

namespace almondtiller::services {

namespace {

using fleet::poll_role;
using platform::platform_errc;

constexpr auto store_timeout = core::milliseconds(1000);
constexpr auto watch_time = core::milliseconds(2000);
constexpr auto peer_timeout = core::milliseconds(500);
constexpr auto sync_pause = core::milliseconds(1000);
constexpr auto watcher_pause = core::milliseconds(20);
constexpr auto starting_pause = core::milliseconds(100);

constexpr auto store_calls_info = core::metric_info{
    "almondtiller_config_store_calls_total", core::metric_kind::counter,
    "Calls to the platform for the configuration, by call and result."};

constexpr auto refusals_info = core::metric_info{
    "almondtiller_config_refusals_total", core::metric_kind::counter,
    "Heads and shards that were not taken, by reason."};

auto is_among(const std::vector<fleet::member>& members,
              const core::node_id& id) -> bool
{
    return std::any_of(members.begin(), members.end(),
                       [&id](const auto& member) { return member.id == id; });
}

} // namespace

config_follower::config_follower(const core::runtime_clock& clock,
                                 core::metrics_registry& metrics,
                                 platform::object_store& store,
                                 fleet::peer_bus& peers, std::uint64_t seed)
    : clock(clock),
      metrics(metrics),
      store(store),
      peers(peers),
      schedule(fleet::poll_options(), seed),
      random(seed)
{}

auto config_follower::run() -> core::duration
{
    const auto self = this->peers.self();
    const auto members = this->peers.members();
    const auto watchers = fleet::choose_watchers(members, self.zone);
    const auto is_chosen = is_among(watchers, self.id);
    auto hinted = std::set<core::node_id>();
    auto known_since = std::optional<core::time_point>();
    {
        const auto guard = std::lock_guard(this->mutex);
        this->watcher = is_chosen;
        hinted = std::exchange(this->hints, {});
        known_since = this->confirmed;
    }
    for (const auto& peer : hinted) {
        this->ask_peer(peer);
    }
    const auto role = is_chosen ? poll_role::watcher : poll_role::follower;
    const auto now = this->clock.now();
    if (this->schedule.is_due(role, known_since, now)) {
        this->ask_store();
    } else if (!is_chosen && now >= this->next_sync) {
        this->ask_watchers(watchers);
    }
    if (!this->is_ready) {
        this->ask_at_start(members);
    }
    this->fetch_shards();
    this->put_in_force();
    this->push(members);
    this->check_start(members.size() - 1);
    if (!this->is_ready) {
        return starting_pause;
    }
    return is_chosen ? watcher_pause : sync_pause / 2;
}

auto config_follower::ask_store() -> void
{
    if (!this->may_call_store()) {
        return;
    }
    const auto role =
        this->is_watcher() ? poll_role::watcher : poll_role::follower;
    const auto text = this->read_store();
    const auto now = this->clock.now();
    const auto is_absent = !text && text.error() == platform_errc::not_found;
    if (!text && !is_absent) {
        this->schedule.failed(role, now);
        return;
    }
    this->schedule.succeeded(role, now);
    if (text && !text.value().empty()) {
        this->take_head(text.value());
    }
    const auto guard = std::lock_guard(this->mutex);
    this->contact.on_platform_contact(now);
    this->confirmed = now;
    this->source.reset();
    if (!is_absent) {
        this->start.on_platform_confirmed();
    }
}

/// \return The head's text, or nothing when a watch saw no change.
auto config_follower::read_store() -> core::result<std::string>
{
    if (this->is_watcher() && this->store_version != 0) {
        const auto seen = this->store.watch(fleet::config_kind,
                                            this->store_version, watch_time);
        this->count_store_call("watch",
                               seen ? std::error_code() : seen.error());
        if (!seen) {
            this->store_version = 0;
            return seen.error();
        }
        auto text = std::string();
        for (const auto& event : seen.value().events) {
            if (event.changed.key.name == fleet::config_head_name) {
                text = event.changed.value;
            }
        }
        this->store_version =
            std::max(this->store_version, seen.value().revision);
        return text;
    }
    const auto found = this->store.get(
        {fleet::config_kind, fleet::config_head_name}, store_timeout);
    this->count_store_call("get", found ? std::error_code() : found.error());
    if (!found) {
        return found.error();
    }
    this->store_version = found.value().version;
    return found.value().value;
}

auto config_follower::ask_watchers(const std::vector<fleet::member>& watchers)
    -> void
{
    const auto half = std::uint64_t(sync_pause.count()) / 2;
    this->next_sync = this->clock.now() + sync_pause / 2 +
                      core::milliseconds(this->random.below(half));
    for (const auto& watcher_node : watchers) {
        if (this->ask_peer(watcher_node.id)) {
            return;
        }
    }
}

auto config_follower::ask_peer(const core::node_id& peer) -> bool
{
    const auto revision = this->current()->revision;
    const auto bytes =
        fleet::call_and_wait(this->peers, peer, fleet::config_head_topic,
                             fleet::encode_revision(revision), peer_timeout);
    if (!bytes) {
        return false;
    }
    const auto answer = fleet::decode_head_answer(bytes.value());
    if (!answer) {
        return false;
    }
    if (!answer.value().head.empty()) {
        this->take_head(answer.value().head);
        const auto guard = std::lock_guard(this->mutex);
        this->source = peer;
    }
    this->confirm(answer.value().revision, answer.value().age_ms);
    if (answer.value().revision > 0) {
        const auto guard = std::lock_guard(this->mutex);
        this->start.on_peer_report(peer);
    }
    return true;
}

auto config_follower::ask_at_start(const std::vector<fleet::member>& members)
    -> void
{
    auto asked = std::size_t(0);
    for (const auto& member : members) {
        if (member.id == this->peers.self().id ||
            member.state == fleet::member_state::suspect) {
            continue;
        }
        if (asked++ == fleet::startup_check::required_peers) {
            return;
        }
        this->ask_peer(member.id);
    }
}

auto config_follower::take_head(const std::string& text) -> void
{
    const auto head = fleet::decode_head(text);
    const auto guard = std::lock_guard(this->mutex);
    const auto error =
        head ? this->assembler.offer_head(head.value()) : head.error();
    if (error && error != fleet::fleet_errc::stale_revision) {
        this->metrics
            .counter_for(refusals_info, {{"reason", core::error_name(error)}})
            .add();
    }
}

auto config_follower::fetch_shards() -> void
{
    auto wanted = std::vector<std::string>();
    {
        const auto guard = std::lock_guard(this->mutex);
        wanted = this->assembler.missing();
    }
    for (const auto& digest : wanted) {
        const auto text = this->fetch_shard(digest);
        if (!text) {
            return;
        }
        const auto guard = std::lock_guard(this->mutex);
        const auto error = this->assembler.offer_shard(digest, text.value());
        if (error) {
            this->source.reset();
            this->metrics
                .counter_for(refusals_info,
                             {{"reason", core::error_name(error)}})
                .add();
        }
    }
}

auto config_follower::fetch_shard(const std::string& digest)
    -> core::result<std::string>
{
    auto peer = std::optional<core::node_id>();
    {
        const auto guard = std::lock_guard(this->mutex);
        peer = this->source;
    }
    if (peer) {
        auto text =
            fleet::call_and_wait(this->peers, *peer, fleet::config_shard_topic,
                                 digest, store_timeout);
        if (text) {
            return text;
        }
    }
    if (!this->may_call_store()) {
        return make_error_code(fleet::fleet_errc::store_budget_spent);
    }
    const auto found =
        this->store.get({fleet::config_shard_kind, digest}, store_timeout);
    this->count_store_call("get", found ? std::error_code() : found.error());
    if (!found) {
        return found.error();
    }
    return found.value().value;
}

auto config_follower::put_in_force() -> void
{
    const auto order = std::lock_guard(this->delivery_mutex);
    auto snapshot = settings::snapshot_ptr();
    auto listeners = std::vector<fleet::config_source::change_handler>();
    {
        const auto guard = std::lock_guard(this->mutex);
        snapshot = this->assembler.advance();
        listeners = this->handlers;
    }
    if (!snapshot) {
        return;
    }
    for (const auto& listener : listeners) {
        listener(snapshot);
    }
}

/// Tells the other nodes of the zone at once; gossip tells the rest.
auto config_follower::push(const std::vector<fleet::member>& members) -> void
{
    const auto revision = this->current()->revision;
    if (!this->is_watcher() || revision <= this->pushed_revision) {
        return;
    }
    this->pushed_revision = revision;
    const auto self = this->peers.self();
    for (const auto& member : members) {
        if (member.zone == self.zone && member.id != self.id) {
            this->peers.call(member.id, fleet::config_push_topic,
                             fleet::encode_revision(revision), peer_timeout,
                             [](const auto&) {});
        }
    }
}

auto config_follower::check_start(std::size_t known_peers) -> void
{
    {
        const auto guard = std::lock_guard(this->mutex);
        if (this->is_ready || !this->start.is_complete(known_peers) ||
            this->assembler.in_force()->revision == 0 ||
            this->assembler.newest_revision() !=
                this->assembler.in_force()->revision) {
            return;
        }
    }
    this->is_ready = true;
    this->on_ready();
}

auto config_follower::may_call_store() -> bool
{
    if (this->budget.try_acquire(this->clock.now())) {
        return true;
    }
    this->count_store_call("none", fleet::fleet_errc::store_budget_spent);
    return false;
}

auto config_follower::count_store_call(const char* call,
                                       const std::error_code& error) -> void
{
    const auto result = error ? core::error_name(error) : std::string("ok");
    this->metrics
        .counter_for(store_calls_info, {{"call", call}, {"result", result}})
        .add();
}

} // namespace almondtiller::services
