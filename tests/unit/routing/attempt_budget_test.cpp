#include "routing/attempt_budget.h"
#include "routing/backoff.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::routing {

RC_GTEST_PROP(attempt_budget, bounds_extra_attempts_over_any_window,
              (std::vector<bool> wants_extra))
{
    auto budget = attempt_budget(0.2);
    // Number of extra attempts above the allowed share so far.
    auto excess = 0.0;
    auto lowest = 0.0;
    for (const auto extra : wants_extra) {
        if (!extra) {
            budget.deposit();
            excess -= 0.2;
        } else if (budget.try_withdraw()) {
            excess += 1.0;
        }
        RC_ASSERT(excess <= 1e-6);
        lowest = std::min(lowest, excess);
        RC_ASSERT(excess - lowest <= attempt_budget::burst + 1e-6);
    }
}

RC_GTEST_PROP(retry_delay, ends_in_time, ())
{
    const auto remaining = *rc::gen::inRange(0, 5000);
    const auto needed = *rc::gen::inRange(0, 5000);
    const auto retries = *rc::gen::inRange(0, 100);
    auto random = core::random_source(7);
    const auto delay =
        retry_delay({}, std::uint32_t(retries), core::milliseconds(remaining),
                    core::milliseconds(needed), random);
    RC_ASSERT(delay.has_value() == (remaining > needed));
    if (delay.has_value()) {
        RC_ASSERT(*delay + core::milliseconds(needed) <=
                  core::milliseconds(remaining));
    }
}

} // namespace almondtiller::routing
