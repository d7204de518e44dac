#pragma once

#include <cstdint>

namespace almondtiller::routing {

/// Limits extra attempts (retries and hedges) to a share of first attempts.
/// The budget is a token bucket that starts empty, gains \a ratio tokens with
/// each first attempt and loses one token with each extra attempt. The number
/// of extra attempts since the start never exceeds ratio times the number of
/// first attempts; within any window it exceeds that share by at most burst.
class attempt_budget
{
public:
    /// \param ratio Maximum number of extra attempts per first attempt.
    explicit attempt_budget(double ratio);

    auto set_ratio(double ratio) -> void;

    /// Adds the tokens earned by the dispatch of a first attempt.
    auto deposit() -> void;

    [[nodiscard]] auto can_withdraw() const -> bool;

    /// Takes the token for one extra attempt.
    /// \return False when less than one token is left.
    auto try_withdraw() -> bool;

    /// Returns the token of an extra attempt that was never dispatched.
    auto refund() -> void;

    /// Maximum number of tokens in the bucket.
    static constexpr auto burst = 10.0;

private:
    double ratio;
    double tokens = 0.0;
};

} // namespace almondtiller::routing
