#pragma once

#include "core/clock.h"

#include <optional>

namespace almondtiller::dispatch {

/// Keeps the requests to an upstream within the rate that it states (token
/// bucket). Load pattern: an overloaded upstream states a fraction of the rate
/// that it gets.
class request_pacer
{
public:
    /// Sets the accepted rate in requests per second; no limit if empty.
    auto set_limit(std::optional<double> per_second) -> void;

    [[nodiscard]] auto is_limited() const -> bool;

    /// \return The accepted rate in requests per second; infinite without a
    ///         limit.
    [[nodiscard]] auto rate() const -> double;

    /// \return The earliest time for the next request; in the past if one is
    ///         allowed now.
    [[nodiscard]] auto next_at() const -> core::time_point;

    [[nodiscard]] auto allows(core::time_point now) const -> bool;

    /// A request is sent.
    auto record(core::time_point now) -> void;

private:
    /// \return Largest number of requests that may be sent at once.
    [[nodiscard]] auto capacity() const -> double;

    std::optional<double> per_second;
    /// Requests that were allowed at updated_at.
    double tokens = 0;
    /// Time of the last request; empty if none was sent under the limit.
    std::optional<core::time_point> updated_at;
};

} // namespace almondtiller::dispatch
