#pragma once

#include <cstdint>

namespace almondtiller::routing {

/// Bounds extra attempts (retries, hedges) to a share of first attempts: a
/// token bucket that starts empty, gains a share of a token with each first
/// attempt and loses one with each extra attempt. At any time the extra
/// attempts since the start are at most ratio times the first attempts; over
/// any window they exceed that share by at most burst.
class attempt_budget
{
public:
    /// \param ratio Extra attempts for each first attempt, at most.
    explicit attempt_budget(double ratio);

    auto set_ratio(double ratio) -> void;

    /// Counts a first attempt that was dispatched.
    auto deposit() -> void;

    [[nodiscard]] auto can_withdraw() const -> bool;

    /// Takes the token for one extra attempt.
    /// \return False when the budget is spent.
    auto try_withdraw() -> bool;

    /// Gives back the token of an extra attempt that was never dispatched.
    auto give_back() -> void;

    /// Tokens kept at most.
    static constexpr auto burst = 10.0;

private:
    double ratio;
    double tokens = 0.0;
};

} // namespace almondtiller::routing
