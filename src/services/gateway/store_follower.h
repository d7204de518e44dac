#pragma once

#include "dispatch/serving_state.h"
#include "services/gateway/fetch_pace.h"
#include "services/gateway/node_metrics.h"
#include "services/gateway/peer_mesh.h"
#include "services/gateway/peer_messages.h"
#include "services/gateway/store_mirror.h"

#include <array>
#include <functional>
#include <memory>

namespace almondtiller::gateway {

/// Brings what the platform's store holds into the serving state, from the
/// store itself or, where it turns this node away, from peers that have newer
/// revisions.
class store_follower
{
public:
    /// \param on_changed The serving state has changed.
    store_follower(event::loop& owner, http1::client_pool& calls,
                   const core::endpoint& store, dispatch::serving_state& known,
                   peer_mesh& mesh, event_log& log,
                   std::function<void()> on_changed);

    /// \param entry How this node will announce itself.
    auto start(const adapter::node_entry& entry) -> void;

    /// \return The revision of each kind, by object_kind.
    [[nodiscard]] auto revisions() const -> std::vector<std::int64_t>;

    /// \return What is known of each kind of object, for metrics.
    [[nodiscard]] auto views() const -> std::vector<store_view>;

    /// A peer has said which revisions it has.
    auto on_peer_revisions(const core::node_id& peer,
                           const std::vector<std::int64_t>& revisions) -> void;

    /// A peer has said which configuration it has in force. Revisions alone
    /// don't tell a node that it has missed one: they also grow with changes
    /// of other objects.
    auto on_peer_configuration(const core::node_id& peer, std::int64_t version)
        -> void;

    /// \param watchers The nodes that ask the store for all; empty: each for
    ///        itself.
    auto set_watchers(std::vector<core::node_id> watchers) -> void;

    /// \return Whether enough is known to serve.
    [[nodiscard]] auto is_complete() const -> bool;

    /// \return Whether the store has failed to answer since it last answered.
    [[nodiscard]] auto is_store_lost() const -> bool;

    /// Registers this node, again until it has worked.
    auto announce() -> void;
    /// Takes the own registration back.
    auto withdraw(const core::node_id& node) -> void;

private:
    static constexpr auto kinds = std::size_t(4);

    auto mirror(adapter::object_kind kind) -> store_mirror&;
    auto wait_of_watches() -> core::milliseconds;
    auto on_store_failed() -> void;
    [[nodiscard]] auto is_trusted() const -> bool;
    auto on_configuration() -> void;
    auto on_upstream_changes(const std::vector<adapter::object_change>& changes)
        -> void;
    auto on_upstream_list() -> void;
    auto take_upstream(const adapter::stored_object& object) -> bool;
    auto on_evacuations() -> void;
    auto on_nodes() -> void;
    auto fetch_from(const core::node_id& peer, std::size_t kind,
                    std::int64_t since) -> void;
    auto put_entry(bool exists) -> void;
    auto update_following() -> void;
    /// \return How long to wait for others before a peer that knows more is
    ///         asked.
    [[nodiscard]] auto patience_with(const core::node_id& peer,
                                     bool follows) const -> core::milliseconds;
    [[nodiscard]] auto encode_since(std::size_t kind,
                                    std::int64_t revision) const -> std::string;
    /// \param may_pack The asking node reads compressed answers.
    auto answer_since(std::size_t kind, std::int64_t revision, bool may_pack)
        -> std::string;
    auto take_snapshot(const core::node_id& peer, std::size_t kind,
                       const std::string& body) -> void;

    event::loop& owner;
    http1::client_pool& pool;
    core::endpoint store;
    dispatch::serving_state& known;
    peer_mesh& mesh;
    event_log& log;
    std::function<void()> changed;
    std::array<std::unique_ptr<store_mirror>, kinds> mirrors;
    std::array<fetch_pace, kinds> paces;
    fetch_pace configuration_pace;
    /// Answers to other nodes, as most of them ask for the same.
    struct snapshot_cache
    {
        std::int64_t revision = 0;
        std::map<std::int64_t, std::string> by_since;
    };
    std::array<snapshot_cache, kinds> snapshots;
    adapter::node_entry own;
    std::uint64_t watches = 0;
    std::vector<core::node_id> watchers;
    bool is_withdrawn = false;
    event::timer announce_timer;
    event::timer expiry;
};

} // namespace almondtiller::gateway
