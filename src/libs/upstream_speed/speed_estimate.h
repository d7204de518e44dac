#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace almondtiller::upstream_speed {

/// Time for which a stated slowdown says something about the present.
inline constexpr auto stated_lifetime = core::milliseconds(500);

/// What an upstream stated about its machine.
struct statement
{
    /// Present time of work as a multiple of the usual time.
    double factor = 1.0;
    core::time_point at;

    auto operator==(const statement&) const -> bool = default;
};

/// Estimates how long work takes at an upstream, as a multiple of the usual
/// time of its service. Load pattern: upstreams that share machines, some of
/// them always slower than others, some several times slower for half a second
/// at a time.
///
/// The slow part is a quantile over bins of half a second of the upstream's own
/// samples. It is not moved by disturbances that fill less than half of the
/// time, however many samples they have. The quick part is what the upstream
/// states about its machine; it fades linearly.
class speed_estimate
{
public:
    /// Records a sample of the upstream's own responses. Values that are no
    /// positive finite number are ignored.
    /// \param ratio Measured time as a multiple of the expected time at an
    ///        upstream of usual speed.
    auto record(double ratio, core::time_point now) -> void;

    /// Records what the upstream states about its machine. A statement that is
    /// older than the last one, or implausible, is ignored.
    /// \param factor Present time of work as a multiple of the usual time.
    /// \param at When it was stated.
    auto state(double factor, core::time_point at) -> void;

    /// Sets the slow part that counts as usual in the service.
    auto set_usual(double slow_part) -> void;

    /// \return The multiple of the expected time that the samples show, not
    ///         relative to other upstreams; 1 without samples.
    [[nodiscard]] auto measured() const -> double;

    /// \return The slow part relative to what is usual; 1 for small
    ///         differences, which are noise of the measurement.
    [[nodiscard]] auto slow_part() const -> double;

    /// \return The quick part; 1 without a recent statement.
    [[nodiscard]] auto quick_part(core::time_point now) const -> double;

    /// \return The expected time of work that takes \a usual_ms at an upstream
    ///         of usual speed and begins now, in milliseconds. The quick part
    ///         lengthens only the time for which its statement holds.
    [[nodiscard]] auto expected_ms(double usual_ms, core::time_point now) const
        -> double;

    /// \return Number of recorded samples.
    [[nodiscard]] auto samples() const -> std::uint64_t;

    /// \return Whether the samples suffice for an estimate.
    [[nodiscard]] auto is_known() const -> bool;

    /// \return The last slowdown that was stated and when.
    [[nodiscard]] auto stated() const -> const std::optional<statement>&;

private:
    /// The bins cover at least 12 s.
    static constexpr auto bin_count = std::size_t(24);

    auto close_bin() -> void;
    auto update_relative() -> void;

    // Read for each upstream in each placement.
    double relative = 1.0;
    std::optional<statement> last_statement;

    double usual = 1.0;
    double measured_ratio = 1.0;
    std::uint64_t count = 0;
    /// The bin that is being filled.
    double open_sum = 0;
    std::uint64_t open_count = 0;
    core::time_point open_since;
    std::size_t used_bins = 0;
    std::size_t next_bin = 0;
    /// Logarithms of the mean ratios of the bins; 0 is the usual speed.
    std::array<double, bin_count> bins{};
};

} // namespace almondtiller::upstream_speed
