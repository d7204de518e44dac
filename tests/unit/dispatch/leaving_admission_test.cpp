#include "dispatch/leaving_admission.h"

#include <gtest/gtest.h>

namespace almondtiller::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr auto until_cut = milliseconds(7300);

// Load pattern: randomized search for faults on a small site, load "mix", seed
// 546718492562. A stream of up to 15 s was accepted 3.1 s after the stop signal
// and cut 4.2 s later.
TEST(leaving_admission, a_stream_that_may_not_end_in_time_goes_elsewhere)
{
    constexpr auto leaving = milliseconds(3120);
    EXPECT_FALSE(
        takes_while_leaving(leaving, until_cut - leaving, milliseconds(15000)));
    EXPECT_FALSE(takes_while_leaving(milliseconds(2501),
                                     until_cut - milliseconds(2501),
                                     milliseconds(15000)));
}

TEST(leaving_admission, what_ends_in_time_is_taken_until_the_end)
{
    constexpr auto leaving = milliseconds(5000);
    EXPECT_TRUE(
        takes_while_leaving(leaving, until_cut - leaving, milliseconds(2000)));
    EXPECT_FALSE(
        takes_while_leaving(leaving, until_cut - leaving, milliseconds(2400)));
}

TEST(leaving_admission, callers_that_can_not_know_yet_are_served)
{
    EXPECT_TRUE(takes_while_leaving(milliseconds(2000),
                                    until_cut - milliseconds(2000),
                                    milliseconds(15000)));
}

} // namespace
} // namespace almondtiller::dispatch
