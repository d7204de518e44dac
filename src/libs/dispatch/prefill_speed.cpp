#include "dispatch/prefill_speed.h"

#include <algorithm>

namespace almondtiller::dispatch {

namespace {

/// A sample loses half its weight after about 140 others, which is some seconds
/// of a busy service.
constexpr auto forgetting_factor = 0.995;
/// The prior counts as much as this many samples of typical prompts, so that a
/// few outliers do not move the estimate far.
constexpr auto prior_samples = 20.0;
constexpr auto typical_tokens = 3000.0;
/// A sample counts as at most this multiple of its expected time: an upstream
/// that hangs does not show how fast others read.
constexpr auto max_expected_multiple = 4.0;
/// No engine is faster or slower than the prior by more than this factor.
constexpr auto max_prior_ratio = 16.0;

} // namespace

prefill_speed::prefill_speed(double expected) : prior(expected)
{
    // Starts with two points on the line of the prior, which has no fixed
    // delay.
    const auto half_samples = prior_samples / 2.0;
    this->weights = prior_samples;
    this->tokens_sum = half_samples * typical_tokens;
    this->ms_sum = half_samples * typical_tokens / expected;
    this->squares = half_samples * typical_tokens * typical_tokens;
    this->products = half_samples * typical_tokens * typical_tokens / expected;
}

auto prefill_speed::record(double tokens, double ms) -> void
{
    const auto clipped_ms = std::min(
        ms, max_expected_multiple * std::max(this->expected_ms(tokens), 1.0));
    const auto add_decayed = [](double& sum, double value) {
        sum = sum * forgetting_factor + value;
    };
    add_decayed(this->weights, 1.0);
    add_decayed(this->tokens_sum, tokens);
    add_decayed(this->ms_sum, clipped_ms);
    add_decayed(this->squares, tokens * tokens);
    add_decayed(this->products, tokens * clipped_ms);
    ++this->count;
}

auto prefill_speed::tokens_per_ms() const -> double
{
    const auto spread =
        this->weights * this->squares - this->tokens_sum * this->tokens_sum;
    const auto slope =
        (this->weights * this->products - this->tokens_sum * this->ms_sum) /
        std::max(spread, 1.0);
    const auto slowest = this->prior / max_prior_ratio;
    const auto fastest = this->prior * max_prior_ratio;
    return slope <= 0.0 ? this->prior
                        : std::clamp(1.0 / slope, slowest, fastest);
}

auto prefill_speed::expected_ms(double tokens) const -> double
{
    const auto fixed_ms =
        (this->ms_sum - this->tokens_sum / this->tokens_per_ms()) /
        this->weights;
    return std::max(fixed_ms, 0.0) + tokens / this->tokens_per_ms();
}

auto prefill_speed::samples() const -> std::uint64_t
{
    return this->count;
}

} // namespace almondtiller::dispatch
