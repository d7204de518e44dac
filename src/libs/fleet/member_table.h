#pragma once

#include "core/random.h"
#include "fleet/member.h"

#include <map>
#include <set>
#include <vector>

namespace almondtiller::fleet {

/// What one node knows of all nodes, and which of it to pass on. Records of a
/// member are ordered by incarnation, then by state (alive, suspect, leaving,
/// dead); the greater one wins, so that tables which saw the same records are
/// equal in whatever order they came. Not thread-safe; does no I/O.
class member_table
{
public:
    explicit member_table(const member& self);

    /// Takes a record into account. A record of this node that is greater
    /// than its own is refuted by a higher incarnation.
    /// \return Whether the table changed.
    auto merge(const member& update) -> bool;

    /// Takes a record into account as merge() does, without passing it on:
    /// the others learn it where this node did.
    auto learn(const member& record) -> bool;

    /// Raises this node's own incarnation to at least that.
    auto raise_incarnation(std::uint64_t incarnation) -> void;

    /// Marks this node as leaving, for its incarnation and every later one.
    auto leave() -> void;

    /// Forgets a dead member.
    auto forget(const core::node_id& id) -> void;

    /// Passes this node's record on again.
    auto requeue_self() -> void;

    [[nodiscard]] auto self() const -> const member&;
    [[nodiscard]] auto is_self(const member& record) const -> bool;

    /// \return Whether any other member is known that is not dead.
    [[nodiscard]] auto has_others() const -> bool;

    /// \return Null when the member is not known.
    [[nodiscard]] auto find(const core::node_id& id) const -> const member*;

    /// \return Every member but the dead ones, sorted by id.
    [[nodiscard]] auto members() const -> std::vector<member>;

    /// \return Every member, the dead ones too, sorted by id.
    [[nodiscard]] auto records() const -> std::vector<member>;

    /// Calls \a hook with every member, the dead ones too, sorted by id.
    template <typename Hook>
    auto visit(const Hook& hook) const -> void
    {
        for (const auto& [id, record] : this->known) {
            hook(record);
        }
    }

    /// \return A hash over every member that is not dead; equal tables have
    ///         equal hashes.
    [[nodiscard]] auto view() const -> std::uint64_t;

    /// \return Records that were passed on the least, up to \a limit, and
    ///         counts them as passed on.
    auto take_updates(std::size_t limit) -> std::vector<member>;

    /// \return Up to \a limit random records, to repair differences; about half
    ///         of them of members that are not alive, if there are such.
    [[nodiscard]] auto sample(std::size_t limit,
                              core::random_source& random) const
        -> std::vector<member>;

private:
    auto store(const member& record) -> void;
    [[nodiscard]] auto retransmissions() const -> std::uint32_t;
    /// Adds a record to the view's hash, or takes it out again.
    auto toggle_in_view(const member& record) -> void;

    core::node_id self_id;
    std::map<core::node_id, member> known;
    std::map<core::node_id, std::uint32_t> sent;
    std::uint64_t view_hash = 0;
};

} // namespace almondtiller::fleet
