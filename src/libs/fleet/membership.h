#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "fleet/gossip_message.h"
#include "fleet/member_table.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondtiller::fleet {

/// Timeouts and limits of the failure detector.
struct membership_options
{
    core::milliseconds interval{500}; ///< Between two rounds of pings.
    /// Time after which a suspect that does not refute the suspicion is dead.
    core::milliseconds suspicion_timeout{3000};
    /// How long the record of a dead member is kept, so that late records of
    /// that member are recognized as outdated.
    core::milliseconds tombstone_retention{600000};
    /// Number of peers that are asked to ping a member that did not answer.
    std::size_t relay_count = 3;
    /// Number of peers to which each update is sent at once.
    std::size_t receiver_count = 3;
    /// Maximum number of queued updates in one message.
    std::size_t max_updates = 8;
    /// Every n-th round pings a member of another zone.
    std::uint64_t remote_ping_period = 4;
    /// Every n-th round also pings one contact that is not in the table or one
    /// dead member.
    std::uint64_t contact_ping_period = 4;

    auto operator==(const membership_options&) const -> bool = default;
};

/// A ping to send; its result is passed to on_probe_result().
struct probe_request
{
    std::uint64_t probe_id = 0; ///< 0 if a failure has no effect.
    /// The peer that pings the target (indirect ping); empty when this node
    /// pings it directly.
    std::optional<member> relay;
    member target;

    auto operator==(const probe_request&) const -> bool = default;
};

/// Membership and failure detection by SWIM (Das, Gupta, Motivala 2002) with
/// suspicion and incarnations. Extensions: leaving is a member state, and most
/// probes stay within the zone. A state machine without I/O: it takes events
/// and the current time and returns the pings to send. Not thread-safe.
class membership
{
public:
    membership(const member& self, const membership_options& options,
               std::uint64_t seed);

    /// Sets the nodes that the platform lists. A contact becomes a member when
    /// it answers a ping.
    auto set_contacts(const std::vector<member>& contacts) -> void;

    /// Applies the platform's list of nodes as authoritative. Listed nodes are
    /// members unless recorded as dead in the listed incarnation; nodes that
    /// are not listed are removed.
    auto set_listed(const std::vector<member>& listed) -> void;

    /// Raises this node's incarnation to at least \a incarnation.
    auto set_incarnation(std::uint64_t incarnation) -> void;

    /// Probes a member that may have failed.
    /// \return One ping; none while a probe of the member is under way or when
    ///         there is no such live member.
    auto probe(const core::node_id& id) -> std::vector<probe_request>;

    /// Runs one round: expires suspicions and selects the pings of this round.
    /// When this process was paused, suspicions are extended by the duration
    /// of the pause.
    auto tick(core::time_point now) -> std::vector<probe_request>;

    /// \return The message of a ping; the caller sets its sender_config_status.
    auto make_ping(const core::node_id& target) -> gossip_message;

    /// Merges the updates of a ping.
    /// \return The ack; the caller sets its sender_config_status.
    auto on_ping(const gossip_message& ping, core::time_point now)
        -> gossip_message;

    /// Merges the updates of the answer to a ping.
    auto on_ack(const gossip_message& ack, core::time_point now) -> void;

    /// Merges updates that a peer sent at once, outside of pings.
    auto on_updates(const gossip_message& received, core::time_point now)
        -> void;

    /// \return Whether take_unsent_updates() would return updates.
    [[nodiscard]] auto has_unsent_updates() const -> bool;

    /// Takes updates that were merged since they were last taken, at most
    /// twice max_updates. They are to be sent at once to choose_receivers(),
    /// because pings alone need seconds to spread the failure of a node to a
    /// thousand others.
    auto take_unsent_updates() -> gossip_message;

    /// \return Random alive members to which updates are sent at once.
    auto choose_receivers() -> std::vector<member>;

    /// Handles the result of a ping.
    /// \param answered Whether the target answered in time.
    /// \return Indirect pings to send next.
    auto on_probe_result(const probe_request& request, bool answered,
                         core::time_point now) -> std::vector<probe_request>;

    /// Announces that this node leaves.
    auto leave() -> void;

    [[nodiscard]] auto table() const -> const member_table&;

private:
    struct probe_state
    {
        std::uint64_t probe_id = 0;
        std::size_t pending_relays = 0; ///< Indirect pings without a result.
        bool ended = true;
    };

    auto merge(const std::vector<member>& updates, core::time_point now)
        -> void;
    auto merge(const member& update, core::time_point now) -> void;
    auto extend_suspicions(core::time_point now) -> void;
    auto expire_suspicions_and_tombstones(core::time_point now) -> void;
    auto suspect(const core::node_id& id, core::time_point now) -> void;
    [[nodiscard]] auto has_open_probe(const core::node_id& id) const -> bool;
    auto choose_target() -> std::optional<member>;
    auto choose_contacts() -> std::vector<member>;
    auto choose_relays(const member& target) -> std::vector<member>;
    /// \return Up to \a limit random alive members other than this node and
    ///         \a target.
    auto choose_alive(std::size_t limit, const core::node_id& target)
        -> std::vector<member>;
    [[nodiscard]] auto is_live_peer(const member& peer) const -> bool;
    auto fill_updates(gossip_message& message, std::uint64_t peer_table_hash,
                      bool wants_full_table) -> void;

    membership_options options;
    member_table member_list;
    core::random_source random;
    std::map<core::node_id, member> contacts;
    std::map<core::node_id, core::time_point> suspicions;
    std::map<core::node_id, core::time_point> tombstones;
    std::set<core::node_id> unsent_updates;
    /// Another zone in which a member was last recorded as suspect or dead.
    std::optional<core::zone_name> suspect_zone;
    std::vector<core::node_id> round_robin;
    std::map<core::node_id, probe_state> probes;
    std::uint64_t rounds = 0;
    std::uint64_t next_probe_id = 1;
    std::optional<core::time_point> last_tick;
};

} // namespace almondtiller::fleet
