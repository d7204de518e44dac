#pragma once

#include "core/metrics.h"
#include "core/periodic_task.h"
#include "fleet/config_assembler.h"
#include "fleet/config_exchange.h"
#include "fleet/config_source.h"
#include "fleet/contact_monitor.h"
#include "fleet/gossip_message.h"
#include "fleet/peer_bus.h"
#include "fleet/poll_schedule.h"
#include "fleet/startup_check.h"
#include "fleet/store_budget.h"
#include "platform/object_store.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>

namespace almondtiller::services {

/// Brings the newest configuration to this node: from the platform as a
/// watcher or as a fallback, else from peers. run() is called by one thread,
/// the rest by any.
class config_follower
{
public:
    config_follower(const core::runtime_clock& clock,
                    core::metrics_registry& metrics,
                    platform::object_store& store, fleet::peer_bus& peers,
                    std::uint64_t seed);

    /// Does what is due.
    /// \return The pause before the next run.
    auto run() -> core::duration;

    /// Called when run() should be called soon.
    std::function<void()> wake = [] {
    };
    /// Called once, when the configuration may be served.
    std::function<void()> on_ready = [] {
    };

    auto answer_head(const std::string& body) -> core::result<std::string>;
    auto answer_shard(const std::string& digest) -> core::result<std::string>;
    auto take_push(const core::node_id& sender, const std::string& body)
        -> core::result<std::string>;

    /// What this node tells with gossip, and what others told.
    auto facts() -> fleet::config_status;
    auto hear_facts(const core::node_id& sender,
                    const fleet::config_status& told) -> void;

    [[nodiscard]] auto current() const -> settings::snapshot_ptr;
    /// Calls the handler at once when there is a configuration, and with
    /// each newer one.
    auto on_change(const fleet::config_source::change_handler& handler) -> void;
    [[nodiscard]] auto is_isolated() const -> bool;

    /// \return Milliseconds since the platform confirmed the configuration,
    ///         to anyone; negative when never.
    [[nodiscard]] auto age_ms() const -> std::int64_t;
    [[nodiscard]] auto is_watcher() const -> bool;

private:
    auto ask_store() -> void;
    auto read_store() -> core::result<std::string>;
    auto ask_watchers(const std::vector<fleet::member>& watchers) -> void;
    auto ask_peer(const core::node_id& peer) -> bool;
    auto ask_at_start(const std::vector<fleet::member>& members) -> void;
    auto take_head(const std::string& text) -> void;
    auto fetch_shards() -> void;
    auto fetch_shard(const std::string& digest) -> core::result<std::string>;
    auto put_in_force() -> void;
    auto push(const std::vector<fleet::member>& members) -> void;
    auto confirm(std::uint64_t revision, std::int64_t age_ms) -> void;
    auto check_start(std::size_t known_peers) -> void;
    auto may_call_store() -> bool;
    auto count_store_call(const char* call, const std::error_code& error)
        -> void;

    const core::runtime_clock& clock;
    core::metrics_registry& metrics;
    platform::object_store& store;
    fleet::peer_bus& peers;

    /// Held while handlers are called, before mutex.
    std::mutex delivery_mutex;
    mutable std::mutex mutex;
    fleet::config_assembler assembler;
    fleet::contact_monitor contact;
    fleet::startup_check start;
    std::vector<fleet::config_source::change_handler> handlers;
    std::optional<core::time_point> confirmed;
    std::set<core::node_id> hints; ///< Peers that know a newer revision.
    std::optional<core::node_id> source;
    bool watcher = false;

    /// Used by run() only.
    fleet::poll_schedule schedule;
    fleet::store_budget budget;
    core::random_source random;
    std::uint64_t store_version = 0;
    std::uint64_t pushed_revision = 0;
    core::time_point next_sync;
    bool is_ready = false;
};

} // namespace almondtiller::services
