#pragma once

#include "core/result.h"
#include "fleet/config_head.h"
#include "settings/tree.h"

#include <map>
#include <string>
#include <vector>

namespace almondtiller::fleet {

/// Shard texts by digest.
using shard_texts = std::map<std::string, std::string>;

/// A part of the declaration tree in stored form.
struct config_shard
{
    shard_ref ref;
    std::string text;

    auto operator==(const config_shard&) const -> bool = default;
};

/// \return The XXH3-128 of \a text as 32 hexadecimal digits.
[[nodiscard]] auto shard_digest(const std::string& text) -> std::string;

/// Splits a tree into the shard "base" and up to 64 shards of workspaces, so
/// that a change of one workspace rewrites only a small object.
[[nodiscard]] auto split_tree(const settings::declaration_tree& tree)
    -> std::vector<config_shard>;

/// Merges shards into a tree.
/// \return The tree; fleet_errc::shard_missing when \a texts lacks a shard, or
///         fleet_errc::malformed_message when a shard is not a JSON object.
[[nodiscard]] auto merge_shards(const std::vector<shard_ref>& shards,
                                const shard_texts& texts)
    -> core::result<settings::declaration_tree>;

} // namespace almondtiller::fleet
