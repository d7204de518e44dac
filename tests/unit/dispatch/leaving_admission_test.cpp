#include "dispatch/leaving_admission.h"

#include <gtest/gtest.h>

namespace almondtiller::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr auto until_stop = milliseconds(7300);

// Load pattern: randomized search for faults on a small site, load "mix", seed
// 546718492562. A stream of up to 15 s was accepted 3.1 s after the stop signal
// and cut 4.2 s later.
TEST(leaving_admission, rejects_a_stream_that_may_not_end_in_time)
{
    constexpr auto since_stop_request = milliseconds(3120);
    EXPECT_FALSE(accepts_while_leaving(since_stop_request,
                                       until_stop - since_stop_request,
                                       milliseconds(15000)));
    EXPECT_FALSE(accepts_while_leaving(milliseconds(2501),
                                       until_stop - milliseconds(2501),
                                       milliseconds(15000)));
}

TEST(leaving_admission, accepts_requests_that_end_in_time)
{
    constexpr auto since_stop_request = milliseconds(5000);
    EXPECT_TRUE(accepts_while_leaving(since_stop_request,
                                      until_stop - since_stop_request,
                                      milliseconds(2000)));
    EXPECT_FALSE(accepts_while_leaving(since_stop_request,
                                       until_stop - since_stop_request,
                                       milliseconds(2400)));
}

TEST(leaving_admission, accepts_callers_with_outdated_addresses)
{
    EXPECT_TRUE(accepts_while_leaving(milliseconds(2000),
                                      until_stop - milliseconds(2000),
                                      milliseconds(15000)));
}

} // namespace
} // namespace almondtiller::dispatch
