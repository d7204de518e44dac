#pragma once

#include "fleet/config_head.h"
#include "fleet/config_shards.h"
#include "settings/snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// Builds snapshots from heads and shards of any source. Accepts only heads
/// with a higher revision and only shards with the digest that the head names.
/// Not thread-safe; does no I/O.
class config_assembler
{
public:
    config_assembler();

    /// Accepts a head as the candidate for the next snapshot.
    /// \return fleet_errc::stale_revision when its revision is not higher
    ///         than that of every earlier head.
    auto offer_head(const config_head& head) -> std::error_code;

    /// Accepts the text of a shard that the newest head names.
    /// \return fleet_errc::digest_mismatch when \a text does not have that
    ///         digest, fleet_errc::stale_revision when no head waits for it.
    auto offer_shard(const std::string& digest, const std::string& text)
        -> std::error_code;

    /// \return Digests of the shards of the newest head that are not stored.
    [[nodiscard]] auto missing() const -> std::vector<std::string>;

    /// Puts the newest head in force when all its shards are stored. A head
    /// whose shards cannot be merged is dropped.
    /// \return The new snapshot, or null when there is none.
    auto advance() -> settings::snapshot_ptr;

    /// \return The snapshot in force; revision 0 before the first.
    [[nodiscard]] auto in_force() const -> settings::snapshot_ptr;

    /// \return The head in force; revision 0 before the first.
    [[nodiscard]] auto head() const -> const config_head&;

    /// \return The revision of the newest head, which may not be in force yet.
    [[nodiscard]] auto newest_revision() const -> std::uint64_t;

    /// \return The text of a stored shard, for peers; empty when it is not
    ///         stored.
    [[nodiscard]] auto shard(const std::string& digest) const
        -> std::optional<std::string>;

private:
    auto build() -> settings::snapshot_ptr;
    auto drop_unused_shards() -> void;

    config_head applied_head;
    std::optional<config_head> candidate_head;
    shard_texts texts;
    settings::snapshot_ptr snapshot;
};

} // namespace almondtiller::fleet
