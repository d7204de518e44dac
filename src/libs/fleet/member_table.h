#pragma once

#include "core/random.h"
#include "fleet/member.h"

#include <map>
#include <set>
#include <vector>

namespace almondtiller::fleet {

/// The records of all nodes at one node, and the queue of updates to gossip.
/// Records of a member are ordered by incarnation, then by state (alive,
/// suspect, leaving, dead). The greater record wins, so that tables that merged
/// the same records in any order are equal. Not thread-safe; does no I/O.
class member_table
{
public:
    explicit member_table(const member& self);

    /// Merges a record and queues the change for gossip. A record of this node
    /// that is greater than its own is refuted by a higher incarnation.
    /// \return Whether the table changed.
    auto merge(const member& update) -> bool;

    /// Merges a record without queueing it for gossip, because the other nodes
    /// get it from the same source.
    /// \return Whether the table changed.
    auto merge_without_gossip(const member& record) -> bool;

    /// Raises this node's incarnation to at least \a incarnation.
    auto raise_incarnation(std::uint64_t incarnation) -> void;

    /// Marks this node as leaving in its current and every later incarnation.
    auto leave() -> void;

    /// Removes the record of a member; does nothing when there is none.
    auto remove(const core::node_id& id) -> void;

    /// Queues this node's record for gossip again.
    auto requeue_self() -> void;

    [[nodiscard]] auto self() const -> const member&;
    [[nodiscard]] auto is_self(const member& record) const -> bool;

    /// \return Whether the table has another member that is not dead.
    [[nodiscard]] auto has_peers() const -> bool;

    /// \return Null when the table has no record of the member.
    [[nodiscard]] auto find(const core::node_id& id) const -> const member*;

    /// \return All members except dead ones, sorted by id.
    [[nodiscard]] auto members() const -> std::vector<member>;

    /// \return All members including dead ones, sorted by id.
    [[nodiscard]] auto records() const -> std::vector<member>;

    /// Calls \a hook with each member including dead ones, sorted by id.
    template <typename Hook>
    auto visit(const Hook& hook) const -> void
    {
        for (const auto& [id, record] : this->records_by_id) {
            hook(record);
        }
    }

    /// \return A hash of all members that are not dead; equal tables have equal
    ///         hashes.
    [[nodiscard]] auto hash() const -> std::uint64_t;

    /// Takes the queued updates that were sent least often and counts them as
    /// sent once more.
    /// \return Up to \a limit records.
    auto take_updates(std::size_t limit) -> std::vector<member>;

    /// Selects records for anti-entropy between tables that differ.
    /// \return Up to \a limit random records; about half of them are of
    ///         members that are not alive, if there are any.
    [[nodiscard]] auto sample(std::size_t limit,
                              core::random_source& random) const
        -> std::vector<member>;

private:
    auto store(const member& record) -> void;
    [[nodiscard]] auto max_retransmissions() const -> std::uint32_t;
    /// Adds a record to the hash returned by hash(), or removes it.
    auto toggle_in_hash(const member& record) -> void;

    core::node_id self_id;
    std::map<core::node_id, member> records_by_id;
    std::map<core::node_id, std::uint32_t> send_counts;
    std::uint64_t table_hash = 0;
};

} // namespace almondtiller::fleet
