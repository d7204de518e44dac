#pragma once

#include "core/random.h"
#include "routing/attempt_request.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondtiller::routing {

/// Chooses an upstream of a pool by the power of two choices on utilisation
/// (Mitzenmacher 2001), with preference for the local availability zone. Work
/// with a prefix hash is placed by rendezvous hashing with bounded loads
/// (Mirrokni et al. 2018).
class upstream_picker
{
public:
    /// One upstream; its index is its position in set_members().
    struct member
    {
        core::upstream_id id;
        bool is_local = false;

        auto operator==(const member&) const -> bool = default;
    };

    /// \return The utilisation of the upstream at an index, 0 when it is
    ///         idle; empty when it has no free capacity.
    using utilisation_function =
        std::function<std::optional<double>(std::uint32_t index)>;
    /// \return Whether the upstream at an index may get work, regardless of
    ///         its free capacity.
    using serviceable_predicate = std::function<bool(std::uint32_t index)>;

    /// The state of the pool that the choice depends on.
    struct conditions
    {
        utilisation_function utilisation;
        serviceable_predicate is_serviceable;
        /// By how much the utilisation of a local upstream must exceed that
        /// of a remote one before the remote one is chosen.
        double spill_threshold = 0.0;
        /// Mean utilisation of the pool. Prefix affinity applies only up to a
        /// bound derived from it.
        double mean_utilisation = 0.0;
    };

    auto set_members(std::vector<member> members) -> void;
    auto apply_hint(const cache_hint& hint) -> void;

    [[nodiscard]] auto pick(const attempt_request& item,
                            const conditions& current,
                            core::random_source& random) const
        -> std::optional<std::uint32_t>;

private:
    using index_list = std::vector<std::uint32_t>;
    struct choice
    {
        std::uint32_t index;
        double utilisation;
    };

    [[nodiscard]] auto excluded_indices(const attempt_request& item,
                                        const conditions& current) const
        -> index_list;
    [[nodiscard]] auto pick_by_prefix(std::uint64_t prefix,
                                      const index_list& excluded,
                                      const conditions& current) const
        -> std::optional<std::uint32_t>;
    [[nodiscard]] auto
    pick_of_two(const index_list& candidates, const index_list& excluded,
                const conditions& current, core::random_source& random) const
        -> std::optional<choice>;
    /// Finds the least utilised of all candidates; of equal ones, the next
    /// one from position \a first on.
    [[nodiscard]] auto scan(const index_list& candidates, std::size_t first,
                            const index_list& excluded,
                            const conditions& current) const
        -> std::optional<choice>;

    std::vector<member> members;
    std::vector<std::uint64_t> hashes;
    index_list local;
    index_list remote;
    std::unordered_map<core::upstream_id, std::uint32_t> positions;
    /// The upstream that last stored each prefix.
    std::unordered_map<std::uint64_t, core::upstream_id> cached_prefixes;
};

} // namespace almondtiller::routing
