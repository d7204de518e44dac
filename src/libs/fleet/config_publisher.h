#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "fleet/config_head.h"
#include "fleet/config_shards.h"
#include "platform/object_store.h"
#include "settings/tree.h"

#include <optional>

namespace almondtiller::fleet {

/// An operator's statement about a change; stored with the change.
struct change_info
{
    std::string who;
    std::string what;

    auto operator==(const change_info&) const -> bool = default;
};

enum class change_state
{
    applied,
    not_applied, ///< The change cannot take effect any more.
    unknown,     ///< The outcome could not be determined.
};

/// How the state of a change was determined.
enum class change_evidence
{
    answer,      ///< The store answered the update.
    head_reread, ///< The head's list of changes was read again.
    head_fenced, ///< The head was unchanged. It was rewritten to fence off the
                 ///< update, which cannot take effect any more.
    not_sent,    ///< The update of the head was never sent.
    none,        ///< The state is unknown.
};

/// The outcome of a change.
struct change_outcome
{
    change_state state = change_state::unknown;
    /// The revision of the change when applied; else the newest one read.
    std::uint64_t revision = 0;
    std::error_code reason; ///< Why the state is not applied or unknown.
    change_evidence evidence = change_evidence::none;
    std::string id; ///< Id of the change; empty when it was not sent.

    auto operator==(const change_outcome&) const -> bool = default;
};

/// The configuration as stored on the platform.
struct stored_config
{
    settings::declaration_tree tree;
    std::uint64_t revision = 0;
    zone_states zones;
    std::vector<change_record> changes;
};

[[nodiscard]] auto to_string(change_state state) -> std::string;
[[nodiscard]] auto to_string(change_evidence evidence) -> std::string;

/// Changes the configuration on the platform. One conditional update of the
/// head commits a change; nothing is retried after an outcome was returned.
/// Calls block. Not thread-safe.
class config_publisher
{
public:
    /// \param change_timeout Time limit for one change, including the
    ///        resolution of a lost answer.
    config_publisher(
        platform::object_store& store, const core::runtime_clock& clock,
        std::uint64_t seed,
        core::milliseconds change_timeout = core::milliseconds(5000));

    /// Replaces the declarations. The state of a zone in the head changes only
    /// where its declared state changes.
    /// \param expected_revision If set, the change fails with
    ///        fleet_errc::revision_conflict when another revision is in force.
    auto publish(const settings::declaration_tree& wanted,
                 const change_info& info,
                 std::optional<std::uint64_t> expected_revision)
        -> change_outcome;

    /// Takes a zone out or back in. After a conflict with a concurrent change
    /// the update is retried on top of that change. Fails with
    /// fleet_errc::unknown_zone when the zone is not declared.
    auto set_zone_state(const core::zone_name& zone, settings::zone_state state,
                        const change_info& info) -> change_outcome;

    /// \return The stored configuration; revision 0 and an empty tree before
    ///         the first change.
    auto current() -> core::result<stored_config>;

private:
    struct versioned_head;

    auto read_head() -> core::result<versioned_head>;
    auto read_tree(const config_head& head)
        -> core::result<settings::declaration_tree>;
    auto write_shards(const std::vector<config_shard>& shards,
                      const config_head& old) -> std::error_code;
    auto write_head(const versioned_head& old, const config_head& next)
        -> std::error_code;
    auto commit(const versioned_head& old, config_head next,
                const change_info& info) -> change_outcome;
    auto resolve_unknown_outcome(const versioned_head& old,
                                 const change_record& change,
                                 core::time_point deadline) -> change_outcome;
    auto check_outcome(const versioned_head& old, const change_record& change)
        -> std::optional<change_outcome>;
    auto pause_before_retry(core::time_point deadline) -> bool;

    platform::object_store& store;
    const core::runtime_clock& clock;
    core::random_source random;
    core::milliseconds change_timeout;
};

} // namespace almondtiller::fleet
