#pragma once

#include <cstdint>

namespace almondtiller::dispatch {

/// Estimates how fast the upstreams of a service read prompts, from the times
/// to their first events: a least-squares line through tokens and times, in
/// which older samples count less (recursive least squares with a forgetting
/// factor). Load pattern: services whose engines differ by a factor of two or
/// more, where a configured speed would classify late requests as on time.
class prefill_speed
{
public:
    /// \param prior Tokens per millisecond that are assumed until samples show
    ///        otherwise.
    explicit prefill_speed(double prior);

    /// \param tokens Tokens that the upstream had to read before the first
    ///        event, including those of requests ahead.
    /// \param ms Time from the placement to the first event, in milliseconds.
    auto record(double tokens, double ms) -> void;

    /// \return Tokens per millisecond.
    [[nodiscard]] auto tokens_per_ms() const -> double;

    /// \return Time to the first event of a request that follows the line, in
    ///         milliseconds.
    [[nodiscard]] auto expected_ms(double tokens) const -> double;

    /// \return Number of recorded samples.
    [[nodiscard]] auto samples() const -> std::uint64_t;

private:
    double prior;
    std::uint64_t count = 0;
    /// Sums over the samples, each weighted by its age.
    double weights = 0;
    double tokens_sum = 0;
    double ms_sum = 0;
    double squares = 0;
    double products = 0;
};

} // namespace almondtiller::dispatch
