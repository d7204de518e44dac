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

/// Times and sizes of the failure detector.
struct membership_options
{
    core::milliseconds interval{500};
    /// From suspicion to death, when nobody refutes it.
    core::milliseconds suspicion{3000};
    /// How long a dead member is remembered, so that late records of it are
    /// known to be old.
    core::milliseconds tombstone{600000};
    /// Peers that are asked to ping a silent member.
    std::size_t relays = 3;
    /// Peers to which news is passed on.
    std::size_t receivers = 3;
    /// Updates in one message.
    std::size_t max_updates = 8;
    /// One ping in so many goes to another zone.
    std::uint64_t remote_every = 4;
    /// One round in so many also pings a node that is listed and not known.
    std::uint64_t contact_every = 4;

    auto operator==(const membership_options&) const -> bool = default;
};

/// A ping to send; the result goes to on_probe_result().
struct probe_order
{
    std::uint64_t probe = 0; ///< 0 for pings whose failure means nothing.
    /// Who should ping the target; empty when this node does.
    std::optional<member> relay;
    member target;

    auto operator==(const probe_order&) const -> bool = default;
};

/// Who the members of the fleet are: SWIM (Das, Gupta, Motivala 2002) with
/// suspicion, incarnations, leaving as a state and probes that stay mostly
/// within the zone. Events and the time in, pings out. Not thread-safe.
class membership
{
public:
    membership(const member& self, const membership_options& options,
               std::uint64_t seed);

    /// Names nodes that the platform lists; they become members when they
    /// answer a ping.
    auto set_contacts(const std::vector<member>& contacts) -> void;

    /// Takes the platform's list of nodes for what it is: who is on it is a
    /// member unless known to be dead in that incarnation, who is not is none.
    auto set_listed(const std::vector<member>& listed) -> void;

    /// Raises this node's own incarnation to at least that.
    auto set_incarnation(std::uint64_t incarnation) -> void;

    /// \return A ping of a member about which there is reason to doubt, none
    ///         while one is under way.
    auto probe(const core::node_id& id) -> std::vector<probe_order>;

    /// One round: ends suspicions and gives the pings of this round. After a
    /// pause of this process, suspicions are prolonged by it.
    auto tick(core::time_point now) -> std::vector<probe_order>;

    /// \return The message for a ping; the caller sets the facts.
    auto make_ping(const core::node_id& target) -> gossip_message;

    /// \return The answer to a ping; the caller sets the facts.
    auto on_ping(const gossip_message& ping, core::time_point now)
        -> gossip_message;

    /// Takes the answer to a ping into account.
    auto on_ack(const gossip_message& ack, core::time_point now) -> void;

    /// Takes what a peer has passed on at once.
    auto on_news(const gossip_message& news, core::time_point now) -> void;

    /// \return Whether take_news() has something.
    [[nodiscard]] auto has_news() const -> bool;

    /// What this node has learnt since the last call and its peers may not
    /// know, to be passed on at once to choose_receivers(). Pings alone take
    /// seconds to bring the end of a node to a thousand others.
    auto take_news() -> gossip_message;

    /// \return Random members that get news.
    auto choose_receivers() -> std::vector<member>;

    /// Says how a ping ended.
    /// \return Indirect pings to send next.
    auto on_probe_result(const probe_order& order, bool answered,
                         core::time_point now) -> std::vector<probe_order>;

    /// Announces that this node leaves.
    auto leave() -> void;

    [[nodiscard]] auto table() const -> const member_table&;

private:
    struct probe_state
    {
        std::uint64_t number = 0;
        std::size_t waiting = 0; ///< Indirect pings without a result.
        bool ended = true;
    };

    auto merge(const std::vector<member>& updates, core::time_point now)
        -> void;
    auto merge(const member& update, core::time_point now) -> void;
    auto shift_deadlines(core::time_point now) -> void;
    auto end_suspicions(core::time_point now) -> void;
    auto suspect(const core::node_id& id, core::time_point now) -> void;
    [[nodiscard]] auto has_open_probe(const core::node_id& id) const -> bool;
    auto next_target() -> std::optional<member>;
    auto next_contacts() -> std::vector<member>;
    auto choose_relays(const member& target) -> std::vector<member>;
    /// \return Random members that are alive, but \a target.
    auto choose_alive(std::size_t most, const core::node_id& target)
        -> std::vector<member>;
    [[nodiscard]] auto is_other_member(const member& peer) const -> bool;
    auto fill_updates(gossip_message& message, std::uint64_t peer_view,
                      bool wants_all) -> void;

    membership_options options;
    member_table known;
    core::random_source random;
    std::map<core::node_id, member> contacts;
    std::map<core::node_id, core::time_point> suspicions;
    std::map<core::node_id, core::time_point> tombstones;
    std::set<core::node_id> news;
    /// Another zone in which a member was last found silent.
    std::optional<core::zone_name> doubted_zone;
    std::vector<core::node_id> round_robin;
    std::map<core::node_id, probe_state> probes;
    std::uint64_t rounds = 0;
    std::uint64_t next_probe = 1;
    std::optional<core::time_point> last_tick;
};

} // namespace almondtiller::fleet
