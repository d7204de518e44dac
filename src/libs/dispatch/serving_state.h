#pragma once

#include "core/clock.h"
#include "dispatch/shard.h"
#include "serving/configuration.h"
#include "serving/upstream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace almondtiller::dispatch {

/// This node's record of a registered upstream.
struct known_upstream
{
    serving::upstream upstream;
    std::int64_t heartbeat_number = 0;
    core::time_point changed_at;
    /// Set if the entry was removed while the store's data could not be
    /// trusted: the time until which the upstream stays in use.
    std::optional<core::time_point> kept_until;
    /// Requests per second that the upstream accepts from all nodes together;
    /// empty if it states no limit. Filled in by serving_state::usable().
    std::optional<double> request_limit = std::nullopt;

    /// \return The time until which the upstream counts as cold.
    [[nodiscard]] auto cold_until() const -> core::time_point;
};

/// The rate of requests that an upstream accepts from all nodes together.
struct request_limit
{
    double per_second = 0;
    /// When an answer last stated the limit.
    core::time_point stated_at;

    auto operator==(const request_limit&) const -> bool = default;
};

/// Returns the upstreams of a shard that may get new work from this node.
using upstream_source =
    std::function<std::vector<known_upstream>(const shard&)>;

/// Time after the end of an outage of the store within which an entry that
/// expired during the outage may reappear, according to the documentation of
/// the platform.
constexpr auto reappearance_period = core::milliseconds(2000);

/// Time for which a restarted process gets no work if the upstream had
/// announced that it is about to stop. Restarts are known from the store only,
/// which may report them late, so the announcement may be that of the new
/// process. In that case its entry is draining or removed within this time,
/// which is more than three heartbeat intervals.
constexpr auto restart_confirmation = core::milliseconds(4000);

/// A node's view of the configuration in force, the upstreams and the
/// availability zones that must get no work. Never reverts to an older version
/// of the configuration or of an upstream's entry.
class serving_state
{
public:
    /// \return Whether the configuration is newer and now in force.
    auto apply(std::shared_ptr<const serving::configuration> newer) -> bool;

    /// Applies an upstream's entry from the store.
    /// \return Whether anything that affects dispatch has changed.
    auto update(const serving::upstream& upstream,
                std::int64_t heartbeat_number, core::time_point now) -> bool;

    /// An entry was removed from the store.
    /// \param kept_until The time until which the upstream stays in use, during
    ///        an outage of the store or right after it, when entries expire
    ///        although their upstreams are alive; std::nullopt if the removal
    ///        is trusted.
    auto remove(const core::upstream_id& id,
                std::optional<core::time_point> kept_until) -> bool;

    /// Applies a complete list of entries: known entries that are missing from
    /// it count as removed.
    /// \param kept_until As for remove().
    auto apply_list(const std::set<core::upstream_id>& listed,
                    std::optional<core::time_point> kept_until) -> bool;

    /// Drops entries that did not reappear in time, expired hold-offs, and the
    /// limits of upstreams that are gone.
    auto expire(core::time_point now) -> bool;

    /// An upstream, registered or not, has announced that it is about to stop.
    /// \return Whether this was not known before.
    auto mark_leaving(const core::upstream_id& id, core::time_point now)
        -> bool;

    /// An upstream has requested that nothing is sent to it until \a until.
    auto hold_off(const core::upstream_id& id, core::time_point until) -> void;

    /// An upstream has stated how many requests per second it accepts.
    /// \return Whether this differs from what was known.
    auto set_limit(const core::upstream_id& id, const request_limit& limit)
        -> bool;

    /// An upstream has answered without stating a limit.
    /// \param requested_at When the request that it answered was sent. Answers
    ///        on different connections overtake each other, so only the answer
    ///        to a request that was sent after the limit was last stated ends
    ///        it.
    /// \return Whether a limit has ended.
    auto end_limit(const core::upstream_id& id, core::time_point requested_at)
        -> bool;

    /// \return The upstreams that have stated a limit.
    [[nodiscard]] auto limits() const
        -> const std::map<core::upstream_id, request_limit>&;

    /// \return Whether an upstream accepts only a certain rate of requests from
    ///         all nodes together: it states a limit or is cold.
    [[nodiscard]] auto has_shared_rates(core::time_point now) const -> bool;

    /// \return The upstreams to which this node must not send now, although
    ///         other nodes may, and the time until which that holds.
    [[nodiscard]] auto held_off(core::time_point now) const
        -> std::map<core::upstream_id, core::time_point>;

    /// \return Whether this node may send new work to \a id.
    [[nodiscard]] auto may_send(const core::upstream_id& id,
                                core::time_point now) const -> bool;

    /// \return Whether the set has changed.
    auto set_evacuated(std::set<core::zone_name> zones) -> bool;

    [[nodiscard]] auto config() const
        -> const std::shared_ptr<const serving::configuration>&;
    /// \return The configured service, nullptr if there is none of that name.
    [[nodiscard]] auto find_service(const serving::service_name& name) const
        -> const serving::service*;
    [[nodiscard]] auto upstreams() const
        -> const std::map<core::upstream_id, known_upstream>&;
    [[nodiscard]] auto evacuated() const -> const std::set<core::zone_name>&;

    /// \return The upstreams of a service that may get new work.
    [[nodiscard]] auto usable(const serving::service_name& service) const
        -> std::vector<known_upstream>;

    /// \return The upstreams of a shard that may get new work.
    [[nodiscard]] auto usable(const shard& part) const
        -> std::vector<known_upstream>;

    /// \return How many upstreams of a service may get new work, by zone.
    [[nodiscard]] auto usable_zones(const serving::service_name& service) const
        -> const std::map<core::zone_name, std::size_t>&;

    /// \return The shard that does work for a zone: that of the zone, or the
    ///         whole service if it has few upstreams. Load pattern: a single
    ///         owner of a service with hundreds of upstreams has no processor
    ///         time left in a burst, and all requests wait for it.
    [[nodiscard]] auto shard_for(const serving::service_name& service,
                                 const core::zone_name& zone) const -> shard;

    /// \return The shards of a service.
    [[nodiscard]] auto shards_of(const serving::service_name& service) const
        -> std::vector<shard>;

    /// \return The zone of the upstream at an address; empty if unknown.
    [[nodiscard]] auto zone_at(const core::endpoint& address) const
        -> core::zone_name;

    /// \return Whether \a id may get new work.
    [[nodiscard]] auto is_usable(const core::upstream_id& id) const -> bool;

private:
    /// The announcement of an upstream that it is about to stop. It is kept
    /// apart from the upstream's entry, which may expire and return.
    struct leave_announcement
    {
        core::time_point announced_at;
        /// Start time of the process that was registered then; empty if none.
        std::optional<std::int64_t> started_ms;
        /// When another process was first registered after the announcement.
        std::optional<core::time_point> restart_seen_at;
    };

    /// Counts over all upstreams, cached until one of them changes.
    struct upstream_counts
    {
        std::map<serving::service_name, std::map<core::zone_name, std::size_t>>
            usable;
        std::map<serving::service_name, std::set<core::zone_name>> zones;
        std::map<serving::service_name, std::size_t> registered;
        std::map<core::endpoint, core::zone_name> by_address;
    };
    [[nodiscard]] auto counts() const -> const upstream_counts&;
    [[nodiscard]] auto with_limit(known_upstream known) const -> known_upstream;
    [[nodiscard]] auto is_usable(const known_upstream& known) const -> bool;
    /// Records that a process other than the announcing one is registered under
    /// the id of an upstream.
    auto note_restart(const serving::upstream& upstream, core::time_point now)
        -> void;
    /// Ends announcements that no longer apply.
    /// \return Whether a registered upstream may get work again.
    auto expire_announcements(core::time_point now) -> bool;

    std::shared_ptr<const serving::configuration> current;
    std::map<core::upstream_id, known_upstream> known;
    std::set<core::zone_name> evacuated_zones;
    /// End of the hold-off by upstream; may be in the past.
    std::map<core::upstream_id, core::time_point> hold_offs;
    std::map<core::upstream_id, request_limit> stated_limits;
    std::map<core::upstream_id, leave_announcement> announcements;
    /// No entry is dropped before this time.
    core::time_point next_expiry = core::time_point::max();
    mutable std::optional<upstream_counts> cached_counts;
};

} // namespace almondtiller::dispatch
