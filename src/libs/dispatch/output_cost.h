#pragma once

#include "core/clock.h"

#include <cstdint>

namespace almondtiller::dispatch {

/// Estimates what an output token takes from an upstream, compared with a
/// prompt token. An output token occupies one of the upstream's slots for the
/// time between two tokens, which is learned from the requests that end
/// (exponentially weighted average). Load pattern: workspaces with short
/// prompts and long outputs beside others with long prompts and short outputs.
class output_cost
{
public:
    /// \param time Time from the first event to the end of the answer.
    auto record(core::duration time, std::uint32_t output_tokens) -> void;

    /// \param slots Requests that the upstream runs at a time.
    /// \return Prompt tokens that an upstream could read instead of writing an
    ///         output token.
    [[nodiscard]] auto prompt_tokens(double read_per_ms,
                                     std::uint32_t slots) const -> double;

private:
    /// Assumed until answers have ended.
    double token_ms = 20;
};

} // namespace almondtiller::dispatch
