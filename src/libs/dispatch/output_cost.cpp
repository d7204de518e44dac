#include "dispatch/output_cost.h"

#include <algorithm>

namespace almondtiller::dispatch {

namespace {

/// Weight of a sample: those of the last second or so of a busy service count.
constexpr auto sample_weight = 0.02;
/// A sample counts as at most this multiple of the estimate, because callers
/// state the expected number of tokens and some state far too few.
constexpr auto max_expected_multiple = 4.0;

} // namespace

auto output_cost::record(core::duration time, std::uint32_t output_tokens)
    -> void
{
    if (output_tokens < 2) {
        return;
    }
    const auto sample =
        std::chrono::duration<double, std::milli>(time).count() /
        double(output_tokens - 1);
    const auto clipped =
        std::min(sample, max_expected_multiple * this->token_ms);
    this->token_ms += (clipped - this->token_ms) * sample_weight;
}

auto output_cost::prompt_tokens(double read_per_ms, std::uint32_t slots) const
    -> double
{
    return this->token_ms * read_per_ms / double(std::max(slots, 1U));
}

} // namespace almondtiller::dispatch
