#pragma once

#include <cstdint>

namespace almondtiller::dispatch {

/// Learns how fast the upstreams of a service read prompts, from the times to
/// their first events: a least-squares line through tokens and times, in which
/// older samples count less (recursive least squares with a forgetting
/// factor). Load pattern: services whose engines differ by a factor of two or
/// more, where a written-down speed takes late requests for punctual ones.
class prefill_speed
{
public:
    /// \param prior Tokens a millisecond, believed until samples say otherwise.
    explicit prefill_speed(double prior);

    /// \param tokens Tokens that the upstream had to read until the first
    ///        event, those of requests ahead included.
    /// \param ms Time from the placement to the first event.
    auto record(double tokens, double ms) -> void;

    /// \return Tokens a millisecond.
    [[nodiscard]] auto tokens_per_ms() const -> double;

    /// \return Samples so far.
    [[nodiscard]] auto samples() const -> std::uint64_t;

private:
    double prior;
    std::uint64_t count = 0;
    /// Sums over samples, each weighted by its age.
    double weights = 0;
    double tokens_sum = 0;
    double ms_sum = 0;
    double squares = 0;
    double products = 0;
};

} // namespace almondtiller::dispatch
