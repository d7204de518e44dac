#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>

namespace almondtiller::result_room {

/// Time by which a report of an upstream may lag behind its state.
inline constexpr auto report_lag = core::milliseconds(500);
/// Shortest time between two requests for the report of an upstream, and time
/// for which an upstream without room is left out if it does not report.
inline constexpr auto report_interval = core::milliseconds(500);

/// Estimates how much of an upstream's room for results is taken by results
/// that its present owner has no record of. Load pattern: after the loss of an
/// owner the upstreams are full of such results, and every call to them ends
/// without room.
class room_estimate
{
public:
    /// Records how many bytes of results the owner knows to be there.
    auto record_known(std::uint64_t bytes, core::time_point now) -> void;

    /// Handles a report.
    /// \param used_bytes Room that is not free.
    auto on_report(std::uint64_t used_bytes, core::time_point now) -> void;

    /// A result found no room at the upstream although the owner counted on it.
    auto on_rejected(core::time_point now) -> void;

    /// Work waits because unknown results take the room.
    auto on_short_of_room() -> void;

    /// \param result_life Longest time for which the upstream keeps a result.
    /// \return Bytes of results that the owner has no record of.
    [[nodiscard]] auto unknown_bytes(core::duration result_life,
                                     core::time_point now) const
        -> std::uint64_t;

    /// \return Whether the upstream takes no result now, for lack of room that
    ///         it has not reported on yet.
    [[nodiscard]] auto is_full(core::time_point now) const -> bool;

    /// \return Whether to request the upstream's report now.
    [[nodiscard]] auto wants_report(core::time_point now) const -> bool;

    /// A report was requested.
    auto on_requested(core::time_point now) -> void;

private:
    struct known_sample
    {
        std::uint64_t bytes = 0;
        core::time_point at;
    };

    auto drop_outdated(core::time_point now) -> void;

    /// Samples within report_lag, without those that a later one exceeds: the
    /// first is the largest.
    std::deque<known_sample> known;
    /// Bytes that the last report showed and the owner did not know.
    std::uint64_t reported_bytes = 0;
    core::time_point reported_at;
    core::time_point requested_at;
    /// End of the time for which the upstream counts as full.
    core::time_point full_until;
    /// Whether something happened that the last report does not explain; a new
    /// owner knows nothing.
    bool is_outdated = true;
};

} // namespace almondtiller::result_room
