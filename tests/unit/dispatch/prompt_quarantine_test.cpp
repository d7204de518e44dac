#include "dispatch/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

namespace almondtiller::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto begin = core::time_point(std::chrono::hours(1));
constexpr auto system_part = std::uint64_t(1);
constexpr auto fatal_part = std::uint64_t(2);

auto crash_of(int upstream, core::time_point at,
              const std::vector<part_hashes>& requests) -> upstream_crash
{
    auto crash = upstream_crash();
    crash.upstream = core::upstream_id("u" + std::to_string(upstream));
    crash.at = at;
    for (const auto& request : requests) {
        auto& suspects = crash.requests.emplace_back();
        for (const auto part : request) {
            suspects.push_back({part, std::nullopt});
        }
    }
    return crash;
}

/// \return The parts that are in quarantine after the crash.
auto report(prompt_quarantine& quarantine, const upstream_crash& crash)
    -> part_hashes
{
    quarantine.on_crash(crash);
    return quarantine.decide(crash.at);
}

TEST(prompt_quarantine, the_last_part_of_a_prompt_is_no_suspect)
{
    EXPECT_EQ(shared_parts({{"5c", 60}, {"9b", 40}}).size(), 1U);
    EXPECT_TRUE(shared_parts({{"5c", 60}}).empty());
    EXPECT_TRUE(shared_parts({}).empty());
}

TEST(prompt_quarantine, repeats_of_a_request_have_the_same_fingerprint)
{
    auto request = serving::caller_request();
    request.id = core::request_id("1");
    request.target = "/a";
    request.body = "b";
    auto repeat = request;
    repeat.id = core::request_id("2");
    repeat.deadline = milliseconds(500);
    EXPECT_EQ(request_fingerprint(repeat), request_fingerprint(request));
    auto other = request;
    other.target = "/ab";
    other.body = "";
    EXPECT_NE(request_fingerprint(other), request_fingerprint(request));
    auto of_other_caller = request;
    of_other_caller.api_key = "k";
    EXPECT_NE(request_fingerprint(of_other_caller),
              request_fingerprint(request));
}

// Nodes and callers repeat a request within milliseconds, so that its crashes
// are as close as those of a lost rack.
TEST(prompt_quarantine, quick_crashes_count_separately_without_a_common_cause)
{
    auto requests = prompt_quarantine(core::duration::zero());
    auto parts = prompt_quarantine(milliseconds(150));
    auto popular = prompt_quarantine(core::duration::zero());
    popular.on_answers({{fatal_part, begin}}, begin);
    for (auto number = 1; number <= 3; ++number) {
        const auto crash =
            crash_of(number, begin + milliseconds(40 * number), {{fatal_part}});
        report(requests, crash);
        report(parts, crash);
        report(popular, crash);
    }
    EXPECT_EQ(requests.parts(), part_hashes{fatal_part});
    EXPECT_TRUE(parts.parts().empty());
    EXPECT_TRUE(popular.parts().empty()) << "it was answered before";
}

// Several requests run at an upstream when it crashes, and nodes report theirs
// separately. Only the part that is at each crash and never answered is found.
RC_GTEST_PROP(prompt_quarantine, finds_the_part_before_the_fifth_crash, ())
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    auto now = begin;
    auto next_part = std::uint64_t(100);
    auto found_at = 0;
    for (auto crash = 1; crash <= 5 && found_at == 0; ++crash) {
        now += milliseconds(*rc::gen::inRange(150, 3000));
        auto requests =
            std::vector<part_hashes>{{system_part, fatal_part, ++next_part}};
        for (auto other = *rc::gen::inRange(0, 5); other > 0; --other) {
            requests.push_back({system_part, ++next_part});
        }
        if (*rc::gen::arbitrary<bool>()) {
            std::reverse(requests.begin(), requests.end());
        }
        const auto split =
            std::ptrdiff_t(*rc::gen::inRange(std::size_t(0), requests.size()));
        for (const auto& reported :
             {std::vector<part_hashes>(requests.begin(),
                                       requests.begin() + split),
              std::vector<part_hashes>(requests.begin() + split,
                                       requests.end())}) {
            quarantine.on_crash(crash_of(crash, now, reported));
        }
        quarantine.decide(now);
        if (quarantine.find({system_part, fatal_part}, now) == fatal_part) {
            found_at = crash;
        }
        RC_ASSERT(!quarantine.find({system_part}, now));
        quarantine.on_answers({{system_part, {}}, {++next_part, {}}},
                              now + milliseconds(1));
    }
    RC_ASSERT(found_at > 0);
    RC_ASSERT(found_at <= 4);
    RC_ASSERT(quarantine.parts() == part_hashes{fatal_part});
}

// All callers share the system prompt, and for a while only requests with the
// fatal part are sent.
TEST(prompt_quarantine, a_part_that_other_requests_share_is_not_blamed)
{
    for (const auto is_answered : {false, true}) {
        auto quarantine = prompt_quarantine(milliseconds(150));
        if (is_answered) {
            quarantine.on_answers({{system_part, {}}}, begin);
        }
        for (auto crash = 1; crash <= 12; ++crash) {
            const auto now = begin + seconds(crash * 4);
            report(
                quarantine,
                crash_of(crash, now,
                         {{system_part, fatal_part, 100 + std::uint64_t(crash)},
                          {system_part, 200 + std::uint64_t(crash)}}));
        }
        EXPECT_EQ(quarantine.parts(), part_hashes{fatal_part});
    }
}

// A zone is lost, and all its upstreams crash at the same time.
TEST(prompt_quarantine, upstreams_that_crash_together_do_not_blame_a_part)
{
    for (const auto is_answered : {false, true}) {
        auto quarantine = prompt_quarantine(milliseconds(150));
        if (is_answered) {
            quarantine.on_answers({{system_part, {}}}, begin);
        }
        for (auto crash = 0; crash < 40; ++crash) {
            const auto now = begin + seconds(1) + milliseconds(crash * 3);
            EXPECT_TRUE(
                report(quarantine, crash_of(crash, now, {{system_part}}))
                    .empty());
        }
    }
}

// All upstreams were lost at first, with requests that share the system prompt.
TEST(prompt_quarantine,
     waits_for_one_more_crash_if_a_later_part_may_be_the_cause)
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    report(quarantine, crash_of(0, begin, {{system_part, 100}}));
    for (auto crash = 1; crash <= 3; ++crash) {
        const auto now = begin + seconds(crash);
        report(quarantine, crash_of(crash, now, {{system_part, fatal_part}}));
    }
    EXPECT_EQ(quarantine.parts(), part_hashes{fatal_part});
}

// Another request was at the upstreams, and another node reports it first.
TEST(prompt_quarantine, a_request_that_is_reported_first_is_not_blamed)
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    for (auto crash = 0; crash < 3; ++crash) {
        const auto now = begin + seconds(crash);
        const auto own = 100 + std::uint64_t(crash);
        quarantine.on_crash(crash_of(crash, now, {{system_part, own}}));
        quarantine.on_crash(crash_of(crash, now + milliseconds(50),
                                     {{system_part, fatal_part}}));
        quarantine.decide(now + milliseconds(200));
    }
    EXPECT_EQ(quarantine.parts(), part_hashes{fatal_part});
}

// The node that reports a crash has seen no answer with the part, others have.
TEST(prompt_quarantine, tells_the_reporter_of_newer_answers)
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    quarantine.on_answers({{system_part, begin}}, begin);
    const auto now = begin + seconds(1);
    auto reported = crash_of(1, now, {{system_part, fatal_part}});
    EXPECT_EQ(quarantine.newer_answers(reported),
              (std::vector<known_part>{{system_part, begin}}));
    reported.requests[0][0].answered_at = begin;
    EXPECT_TRUE(quarantine.newer_answers(reported).empty());
}

// Upstreams crash for a reason of their own, and prompts with the part are
// answered between the crashes.
TEST(prompt_quarantine, an_answered_part_is_not_blamed_for_many_crashes)
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    for (auto crash = 0; crash < 40; ++crash) {
        const auto now = begin + seconds(crash);
        EXPECT_TRUE(
            report(quarantine, crash_of(crash, now, {{system_part}})).empty());
        quarantine.on_answers({{system_part, {}}}, now + milliseconds(300));
    }
}

TEST(prompt_quarantine, one_crash_that_several_nodes_report_counts_once)
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    for (auto number = 0; number < 10; ++number) {
        EXPECT_TRUE(
            report(quarantine, crash_of(1, begin, {{fatal_part}})).empty());
    }
}

TEST(prompt_quarantine, answers_known_to_another_node_clear_a_part)
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    for (auto crash = 0; crash < 5; ++crash) {
        const auto now = begin + seconds(crash);
        auto reported = crash_of(crash, now, {{system_part}});
        reported.requests[0][0].answered_at = now - milliseconds(9);
        EXPECT_TRUE(report(quarantine, reported).empty());
    }
}

TEST(prompt_quarantine, an_answer_releases_a_part)
{
    auto quarantine = prompt_quarantine(milliseconds(150));
    quarantine.adopt({fatal_part}, begin);
    EXPECT_EQ(quarantine.find({system_part, fatal_part}, begin), fatal_part);
    const auto later = begin + seconds(1);
    EXPECT_TRUE(quarantine.on_answers({{fatal_part, begin}}, later).empty())
        << "the answer began before the quarantine";
    EXPECT_EQ(quarantine.on_answers({{fatal_part, later}}, later).size(), 1U);
    EXPECT_FALSE(quarantine.find({fatal_part}, later));
    EXPECT_TRUE(quarantine.adopt({fatal_part}, later).empty())
        << "other nodes may not know yet that it is released";
}

TEST(prompt_quarantine, ends_some_time_after_the_last_request)
{
    constexpr auto minute = std::chrono::minutes(1);
    auto quarantine = prompt_quarantine(milliseconds(150));
    for (auto crash = 0; crash < 3; ++crash) {
        const auto now = begin + seconds(crash);
        report(quarantine, crash_of(crash, now, {{fatal_part}}));
    }
    EXPECT_TRUE(quarantine.expire(begin + 4 * minute).empty());
    EXPECT_TRUE(quarantine.find({fatal_part}, begin + 4 * minute));
    EXPECT_TRUE(quarantine.expire(begin + 8 * minute).empty());
    EXPECT_EQ(quarantine.expire(begin + 10 * minute), part_hashes{fatal_part});
    EXPECT_FALSE(quarantine.find({fatal_part}, begin + 10 * minute));
    const auto again = begin + 11 * minute;
    EXPECT_EQ(report(quarantine, crash_of(9, again, {{fatal_part}})),
              part_hashes{fatal_part})
        << "one more crash is enough";
}

} // namespace
} // namespace almondtiller::dispatch
