#pragma once

#include "core/ids.h"
#include "upstream_speed/speed_watch.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondtiller::upstream_speed {

/// An instance of an upstream; one that is started again begins as usual.
struct upstream_key
{
    core::upstream_id id;
    std::int64_t started_ms = 0;

    auto operator==(const upstream_key&) const -> bool = default;
};

/// Speeds of a service's upstreams, for its metrics.
struct speed_summary
{
    /// Present time of work as a multiple of the usual time.
    double slowest = 1.0;
    double median = 1.0;

    auto operator==(const speed_summary&) const -> bool = default;
};

/// A change of what is believed about the speed of an upstream, with what it is
/// based on.
struct speed_change
{
    core::upstream_id upstream;
    speed_state state = speed_state::usual;
    double slow_part = 1.0;
    std::uint64_t samples = 0;
    /// The last factor that the upstream stated; empty if it stated none.
    std::optional<double> stated;

    auto operator==(const speed_change&) const -> bool = default;
};

/// The speeds of the upstreams of a service at the owner of the service. Load
/// pattern: see speed_estimate. Nothing is learned or used before enable(), so
/// that deployments whose upstreams state no slowdown are served as before.
class service_speeds
{
public:
    auto enable() -> void;
    [[nodiscard]] auto is_enabled() const -> bool;

    /// Keeps the estimates of the instances that are in the list.
    /// \param keys In ascending order of their ids, which are unique. The
    ///        position in it is the index for the other functions.
    auto set_upstreams(const std::vector<upstream_key>& keys) -> void;

    /// \return The index of an upstream; empty if it is not in the list.
    [[nodiscard]] auto find(const core::upstream_id& upstream) const
        -> std::optional<std::size_t>;

    [[nodiscard]] auto at(std::size_t index) const -> const speed_estimate&;

    /// Records a sample; see speed_estimate::record().
    auto record(std::size_t index, double ratio, core::time_point now) -> void;

    /// Records a statement; see speed_estimate::state(). An unknown upstream
    /// and a time in the future are ignored.
    auto state(const core::upstream_id& upstream, const statement& stated,
               core::time_point now) -> void;

    /// \return The changes since the last call.
    auto take_changes() -> std::vector<speed_change>;

    [[nodiscard]] auto summary(core::time_point now) const -> speed_summary;

private:
    struct tracked_upstream
    {
        upstream_key key;
        speed_estimate speed;
        speed_watch watch;
    };

    auto update_usual(core::time_point now) -> void;
    auto observe(tracked_upstream& upstream, core::time_point now) -> void;

    bool enabled = false;
    std::vector<tracked_upstream> upstreams;
    std::vector<speed_change> changes;
    /// When the usual speed is computed again.
    core::time_point update_at;
};

} // namespace almondtiller::upstream_speed
