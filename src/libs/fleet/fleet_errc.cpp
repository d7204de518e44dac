#include "fleet/fleet_errc.h"

#include <array>

namespace almondtiller::fleet {

namespace {

using core::error_entry;

constexpr auto entries = std::array{
    error_entry{int(fleet_errc::peer_unreachable), "peer_unreachable",
                "the peer could not be reached"},
    error_entry{int(fleet_errc::peer_timeout), "peer_timeout",
                "the peer did not answer in time"},
    error_entry{int(fleet_errc::unknown_topic), "unknown_topic",
                "the peer has no handler for the topic"},
    error_entry{int(fleet_errc::malformed_message), "malformed_message",
                "a message could not be decoded"},
    error_entry{int(fleet_errc::stale_revision), "stale_revision",
                "the configuration is older than the one in force"},
    error_entry{int(fleet_errc::digest_mismatch), "digest_mismatch",
                "a shard does not have the digest that the head names"},
    error_entry{int(fleet_errc::shard_missing), "shard_missing",
                "a shard that the head names is not here"},
    error_entry{int(fleet_errc::revision_conflict), "revision_conflict",
                "another change of the configuration was accepted first"},
    error_entry{int(fleet_errc::change_forgotten), "change_forgotten",
                "the head no longer lists changes of that revision"},
    error_entry{int(fleet_errc::unknown_zone), "unknown_zone",
                "the availability zone is not declared"},
    error_entry{int(fleet_errc::message_too_large), "message_too_large",
                "a message is larger than peers accept"},
    error_entry{int(fleet_errc::too_many_calls), "too_many_calls",
                "too many calls to the peer are under way"},
    error_entry{int(fleet_errc::shutting_down), "shutting_down",
                "this node no longer talks to peers"},
    error_entry{int(fleet_errc::peer_failed), "peer_failed",
                "the peer failed to answer"},
    error_entry{int(fleet_errc::address_unavailable), "address_unavailable",
                "the address for peers cannot be listened on"},
    error_entry{int(fleet_errc::store_budget_spent), "store_budget_spent",
                "this node has made its calls to the platform"},
};

} // namespace

auto fleet_category() -> const core::table_category&
{
    static const auto category = core::table_category("fleet", entries);
    return category;
}

auto make_error_code(fleet_errc code) -> std::error_code
{
    return {int(code), fleet_category()};
}

} // namespace almondtiller::fleet
