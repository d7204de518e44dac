#pragma once

#include "core/clock.h"
#include "dispatch/shard.h"
#include "serving/configuration.h"
#include "serving/upstream.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace almondtiller::dispatch {

/// An upstream as this node knows it.
struct known_upstream
{
    serving::upstream upstream;
    std::int64_t beat = 0;
    core::time_point changed;
    /// Removed while the store's view could not be trusted; in use until
    /// then.
    std::optional<core::time_point> removal;
    /// It has said with an answer that it is about to end.
    bool is_leaving = false;

    /// \return Until when it counts as cold.
    [[nodiscard]] auto cold_until() const -> core::time_point;
};

/// How long an entry that lapsed during an outage of the store may take to
/// come back after it, by the platform's documentation.
constexpr auto reappearance_time = core::milliseconds(2000);

/// What a node believes: the configuration in force, the upstreams and the
/// availability zones that are to get no work. Never goes back to an older
/// version of either.
class serving_state
{
public:
    /// \return Whether it is newer and in force now.
    auto apply(std::shared_ptr<const serving::configuration> newer) -> bool;

    /// Takes an upstream's entry.
    /// \return Whether something that matters has changed.
    auto update(const serving::upstream& upstream, std::int64_t beat,
                core::time_point now) -> bool;

    /// An entry was removed.
    /// \param trusted False within an outage of the store or right after it,
    ///        when entries lapse although their upstreams live.
    auto remove(const core::upstream_id& id, bool trusted, core::time_point now)
        -> bool;

    /// Takes a whole list: entries that it lacks count as removed.
    auto retain(const std::set<core::upstream_id>& listed, bool trusted,
                core::time_point now) -> bool;

    /// Drops entries whose time to come back is over.
    auto expire(core::time_point now) -> bool;

    /// An upstream has said that it is about to end.
    /// \return Whether that is news.
    auto mark_leaving(const core::upstream_id& id) -> bool;

    /// An upstream wants nothing from this node until \a until.
    auto hold_off(const core::upstream_id& id, core::time_point until) -> void;

    /// \return The upstreams that this node must send nothing to now, though
    ///         others may, and until when.
    [[nodiscard]] auto held_off(core::time_point now) const
        -> std::map<core::upstream_id, core::time_point>;

    /// \return Whether this node may send new work to \a id.
    [[nodiscard]] auto may_send(const core::upstream_id& id,
                                core::time_point now) const -> bool;

    /// \return Whether the set has changed.
    auto set_evacuated(std::set<core::zone_name> zones) -> bool;

    [[nodiscard]] auto config() const
        -> const std::shared_ptr<const serving::configuration>&;
    /// \return The service as configured, nullptr if it is not.
    [[nodiscard]] auto find_service(const serving::service_name& name) const
        -> const serving::service*;
    [[nodiscard]] auto upstreams() const
        -> const std::map<core::upstream_id, known_upstream>&;
    [[nodiscard]] auto evacuated() const -> const std::set<core::zone_name>&;

    /// \return The upstreams of a service that may get new work.
    [[nodiscard]] auto usable(const serving::service_name& service) const
        -> std::vector<known_upstream>;

    /// \return Those of them that belong to a shard.
    [[nodiscard]] auto usable(const shard& part) const
        -> std::vector<known_upstream>;

    /// \return How many upstreams of a service may get new work, by zone.
    [[nodiscard]] auto usable_zones(const serving::service_name& service) const
        -> const std::map<core::zone_name, std::size_t>&;

    /// \return The shard that does work for a zone: the zone's, or the whole
    ///         service where that has few upstreams. Load pattern: the one
    ///         owner of a service with hundreds of upstreams has no processor
    ///         time left in a burst, and all requests wait for it.
    [[nodiscard]] auto shard_for(const serving::service_name& service,
                                 const core::zone_name& zone) const -> shard;

    /// \return The shards of a service.
    [[nodiscard]] auto shards_of(const serving::service_name& service) const
        -> std::vector<shard>;

    /// \return The zone of the upstream at an address, empty if it is unknown.
    [[nodiscard]] auto zone_at(const core::endpoint& address) const
        -> core::zone_name;

    /// \return Whether \a id may get new work.
    [[nodiscard]] auto is_usable(const core::upstream_id& id) const -> bool;

private:
    /// What is counted over all upstreams, until one of them changes.
    struct census
    {
        std::map<serving::service_name, std::map<core::zone_name, std::size_t>>
            usable;
        std::map<serving::service_name, std::set<core::zone_name>> zones;
        std::map<serving::service_name, std::size_t> known;
        std::map<core::endpoint, core::zone_name> by_address;
    };
    [[nodiscard]] auto counted() const -> const census&;
    [[nodiscard]] auto is_usable(const known_upstream& known) const -> bool;

    std::shared_ptr<const serving::configuration> current;
    std::map<core::upstream_id, known_upstream> known;
    std::set<core::zone_name> closed_zones;
    /// Those that were told to be held off, some of them no longer.
    std::map<core::upstream_id, core::time_point> holds;
    /// No entry expires before.
    core::time_point next_expiry = core::time_point::max();
    mutable std::optional<census> last_census;
};

} // namespace almondtiller::dispatch
