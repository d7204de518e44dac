#pragma once

#include "routing/attempt_request.h"
#include "routing/cold_notification.h"
#include "settings/effective.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::routing {

/// Decides whether one upstream is cold, and limits the requests in flight of
/// a warm one during its slow start. An upstream is cold initially and turns
/// cold at the first indication. It turns warm after enough completions of
/// attempts that were sent while it was cold. A report that it is warm also
/// suffices, unless it turned cold because it restarted or was slow.
class upstream_temperature
{
public:
    /// The settings of the pool for cold starts.
    struct limits
    {
        std::uint32_t cold_capacity = 1;
        std::uint32_t warm_completions = 8;
        core::duration silence_until_cold = std::chrono::minutes(5);

        auto operator==(const limits&) const -> bool = default;
    };

    explicit upstream_temperature(limits bounds);

    auto set_limits(limits bounds) -> void;
    auto observe(const load_report& report, core::time_point now) -> void;
    auto observe(const attempt_result& result, core::time_point now) -> void;

    /// Applies another node's notification that the upstream turned cold.
    auto observe(const cold_notification& notification, core::time_point now)
        -> void;

    [[nodiscard]] auto is_cold(core::time_point now) const -> bool;
    [[nodiscard]] auto reason(core::time_point now) const -> cold_reason;

    /// \return Maximum number of requests in flight during the slow start of a
    ///         warm upstream.
    [[nodiscard]] auto ramp() const -> std::uint32_t;

    /// \return The current incarnation; empty while unknown.
    [[nodiscard]] auto incarnation() const -> const std::string&;

private:
    auto update_incarnation(const std::string& seen, core::time_point now)
        -> bool;
    auto mark_cold(cold_reason why, core::time_point now) -> void;
    auto mark_warm(core::time_point now) -> void;
    auto apply_silence_timeout(core::time_point now) -> void;
    auto observe_completion(const attempt_result& result, core::time_point now)
        -> void;
    auto observe_slowness(core::time_point now) -> void;

    limits bounds;
    std::string current_incarnation;
    std::vector<std::string> past_incarnations;
    bool cold = true;
    cold_reason why = cold_reason::not_seen_before;
    core::time_point last_change = core::time_point::min();
    core::time_point last_contact = core::time_point::min();
    std::uint32_t warm_up_completions = 0;
    std::uint32_t ramp_limit = 1;
    double baseline_seconds = 0.0;
    std::uint32_t baseline_samples = 0;
    std::uint32_t slow_responses = 0;
};

} // namespace almondtiller::routing
