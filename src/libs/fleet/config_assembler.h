#pragma once

#include "fleet/config_head.h"
#include "fleet/config_shards.h"
#include "settings/snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// Builds snapshots out of heads and shards from any source: only higher
/// revisions, only shards with the digest that the head names. Not
/// thread-safe; does no I/O.
class config_assembler
{
public:
    config_assembler();

    /// Takes a head into account.
    /// \return fleet_errc::stale_revision when its revision is not higher
    ///         than that of every head seen.
    auto offer_head(const config_head& head) -> std::error_code;

    /// Takes a shard's text into account.
    /// \return fleet_errc::digest_mismatch when it is not what it claims to
    ///         be, fleet_errc::stale_revision when nobody asked for it.
    auto offer_shard(const std::string& digest, const std::string& text)
        -> std::error_code;

    /// \return Digests that the newest head needs and that are not here.
    [[nodiscard]] auto missing() const -> std::vector<std::string>;

    /// Puts the newest head in force when its shards are all here.
    /// \return The new snapshot, or null when there is none.
    auto advance() -> settings::snapshot_ptr;

    /// \return The snapshot in force; revision 0 before the first.
    [[nodiscard]] auto in_force() const -> settings::snapshot_ptr;

    /// \return The head in force.
    [[nodiscard]] auto head() const -> const config_head&;

    /// \return The highest revision of any head seen.
    [[nodiscard]] auto newest_revision() const -> std::uint64_t;

    /// \return The text of a shard that is here, for peers.
    [[nodiscard]] auto shard(const std::string& digest) const
        -> std::optional<std::string>;

private:
    auto build() -> settings::snapshot_ptr;
    auto drop_unused_shards() -> void;

    config_head applied;
    std::optional<config_head> candidate;
    shard_texts texts;
    settings::snapshot_ptr snapshot;
};

} // namespace almondtiller::fleet
