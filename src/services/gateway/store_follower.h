#pragma once

#include "dispatch/serving_state.h"
#include "services/gateway/fetch_throttle.h"
#include "services/gateway/node_metrics.h"
#include "services/gateway/node_registration.h"
#include "services/gateway/peer_mesh.h"
#include "services/gateway/peer_messages.h"
#include "services/gateway/snapshot_codec.h"
#include "services/gateway/store_mirror.h"

#include <array>
#include <functional>
#include <memory>

namespace almondtiller::gateway {

/// Keeps the serving state up to date with the platform's store. Reads from the
/// store itself or, if the store does not serve this node, from peers that have
/// newer revisions.
class store_follower
{
public:
    using orders_hook = std::function<void(
        const std::map<std::string, adapter::stored_object>&)>;

    /// \param on_changed Called when the serving state has changed.
    /// \param on_registration Called when is_registered() has changed.
    /// \param on_orders Called with all orders for rollouts when one has
    ///        changed. Without it, orders are not read.
    store_follower(event::loop& event_loop, http1::client_pool& calls,
                   const core::endpoint& store,
                   dispatch::serving_state& serving_state, peer_mesh& mesh,
                   event_log& log, std::function<void()> on_changed,
                   std::function<void()> on_registration,
                   orders_hook on_orders = nullptr);

    /// Starts to read the store.
    /// \param entry The entry under which announce() registers this node.
    auto start(const adapter::node_entry& entry) -> void;

    /// \return The revision of each kind, indexed by object_kind; 0 if no list
    ///         was read yet.
    [[nodiscard]] auto revisions() const
        -> std::vector<serving::store_revision>;

    /// \return The state of the mirror of each kind of object, for metrics.
    [[nodiscard]] auto views() const -> std::vector<store_view>;

    /// Handles the revisions that a peer reports, and fetches newer ones from
    /// it.
    auto
    on_peer_revisions(const core::node_id& peer,
                      const std::vector<serving::store_revision>& revisions)
        -> void;

    /// Handles the version of the configuration that a peer reports as in
    /// force. Revisions alone do not show that this node has missed a version,
    /// because they also grow with changes of other objects.
    auto on_peer_configuration(const core::node_id& peer, std::int64_t version)
        -> void;

    /// \param watchers The nodes that watch the store on behalf of all nodes;
    ///        if empty, every node watches it for itself.
    auto set_watchers(std::vector<core::node_id> watchers) -> void;

    /// \return Whether a configuration is in force and the lists of upstreams,
    ///         evacuations and orders were read, so that the node can serve.
    [[nodiscard]] auto is_complete() const -> bool;

    /// \return Whether the last call for some kind of object has failed.
    [[nodiscard]] auto is_store_lost() const -> bool;

    /// Registers this node in the store and retries until that succeeds.
    auto announce() -> void;
    /// Removes this node's registration from the store; not retried.
    auto withdraw() -> void;
    /// \return Whether the store holds the registration, so that the other
    ///         nodes know this one.
    [[nodiscard]] auto is_registered() const -> bool;

private:
    static constexpr auto kind_count = std::size_t(5);

    auto mirror(adapter::object_kind kind) -> store_mirror&;
    auto next_watch_wait(adapter::object_kind kind) -> core::milliseconds;
    auto on_store_failed() -> void;
    /// Reads all kinds of objects again that were read in an earlier era.
    auto on_store_restored(std::int64_t era) -> void;
    /// \return The time until which the upstream of a removed entry stays in
    ///         use, as the entry may have expired in an outage of the store;
    ///         std::nullopt if the removal is trusted.
    [[nodiscard]] auto reappears_until() const
        -> std::optional<core::time_point>;
    /// \return The time in ms since the last failed read of upstreams, for log
    ///         lines; "none" if none has failed.
    [[nodiscard]] auto since_store_failure() const -> std::string;
    auto on_configuration() -> void;
    auto on_upstream_changes(const std::vector<adapter::object_change>& changes)
        -> void;
    auto on_upstream_list() -> void;
    /// \param is_logged Whether a change is logged by itself.
    auto apply_upstream(const adapter::stored_object& object,
                        bool is_logged = true) -> bool;
    auto on_evacuations() -> void;
    auto on_nodes() -> void;
    auto fetch_from(const core::node_id& peer, std::size_t kind,
                    const serving::store_revision& since) -> void;
    auto update_following() -> void;
    /// \return How long to wait for the change from the store or other peers
    ///         before it is fetched from \a peer.
    /// \param follows Whether this node watches the store itself.
    [[nodiscard]] auto fetch_delay(const core::node_id& peer,
                                   bool follows) const -> core::milliseconds;
    [[nodiscard]] auto
    encode_since(std::size_t kind,
                 const serving::store_revision& revision) const -> std::string;
    auto answer_request(const snapshot_request& request) -> std::string;
    /// \param may_compress Whether the calling node reads compressed answers.
    auto answer_since(std::size_t kind, const serving::store_revision& revision,
                      bool may_compress) -> std::string;
    auto apply_snapshot(const core::node_id& peer, std::size_t kind,
                        const std::string& body) -> void;

    event::loop& event_loop;
    http1::client_pool& pool;
    core::endpoint store;
    dispatch::serving_state& serving_state;
    peer_mesh& mesh;
    event_log& log;
    std::function<void()> notify_changed;
    std::function<void()> notify_registered;
    orders_hook notify_orders;
    /// Indexed by object_kind; without the last kind, that of orders, if they
    /// are not read.
    std::vector<std::unique_ptr<store_mirror>> mirrors;
    std::array<fetch_throttle, kind_count> throttles;
    fetch_throttle configuration_throttle;
    /// Encoded answers by the revision since which changes were requested. Most
    /// nodes request the same one.
    struct snapshot_cache
    {
        serving::store_revision revision;
        std::map<serving::store_revision, std::string> by_since;
    };
    std::array<snapshot_cache, kind_count> snapshots;
    adapter::node_entry own_entry;
    std::uint64_t watch_count = 0;
    std::vector<core::node_id> watchers;
    node_registration registration;
    event::timer expiry_timer;
};

} // namespace almondtiller::gateway
