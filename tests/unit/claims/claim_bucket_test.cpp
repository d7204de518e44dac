#include "claims/claims.h"
#include "platform/platform_errc.h"

#include <gtest/gtest.h>

namespace almondtiller::claims {

namespace {

using platform::platform_errc;

auto make_environment() -> bucket_environment
{
    auto environment = bucket_environment();
    environment.is_holder_alive = [](const claim_record& record,
                                     const moment&) {
        return record.node == "alive";
    };
    environment.retention = core::milliseconds(3'600'000);
    environment.retry_pause = core::milliseconds(100);
    environment.max_value_bytes = 100'000;
    return environment;
}

auto at(int ms) -> moment
{
    return {core::time_point(core::milliseconds(ms)), 1'000'000 + ms};
}

auto want(const std::string& claim, const std::string& key = "k")
    -> claim_wanted
{
    return {claim, key, "f",
            "n1",  7,   core::time_point(core::milliseconds(1000))};
}

using read_value = core::result<std::pair<std::uint64_t, std::string>>;

auto absent() -> read_value
{
    return make_error_code(platform_errc::not_found);
}

auto holding(const claim_record& record) -> read_value
{
    auto contents = bucket_contents();
    contents.records.emplace("k", record);
    return std::pair(std::uint64_t(5), encode(contents));
}

auto held_by(const std::string& node) -> claim_record
{
    return {"other", "f", node, 1, claim_state::claimed, 1'000'000, "", false};
}

template <typename Action>
auto single_action(const bucket_actions& actions) -> Action
{
    EXPECT_EQ(actions.size(), 1U);
    return std::get<Action>(actions.at(0));
}

} // namespace

TEST(claim_bucket, writes_concurrent_claims_together)
{
    auto bucket = claim_bucket(make_environment());
    single_action<read_bucket>(bucket.want(want("c1", "k1"), at(0)));
    EXPECT_TRUE(bucket.want(want("c2", "k2"), at(0)).empty());
    const auto write =
        single_action<write_bucket>(bucket.was_read(absent(), at(1)));
    EXPECT_EQ(write.expected, std::nullopt);
    EXPECT_EQ(decode(write.value).value().records.size(), 2U);
    EXPECT_EQ(bucket.was_written(std::uint64_t(9), at(2)).size(), 2U);
}

TEST(claim_bucket, delays_writes_and_groups_claims_that_arrive)
{
    auto environment = make_environment();
    environment.write_interval = core::milliseconds(50);
    auto bucket = claim_bucket(environment);
    bucket.want(want("c1", "k1"), at(0));
    bucket.was_read(absent(), at(1));
    bucket.was_written(std::uint64_t(9), at(2));
    EXPECT_TRUE(bucket.want(want("c2", "k2"), at(10)).empty());
    EXPECT_TRUE(bucket.want(want("c3", "k3"), at(20)).empty());
    EXPECT_EQ(bucket.next_timer(), at(51).now);
    single_action<write_bucket>(bucket.advance(at(51)));
    EXPECT_EQ(bucket.was_written(std::uint64_t(10), at(52)).size(), 2U);
}

TEST(claim_bucket, resolves_an_unknown_write_outcome_by_reading_back)
{
    auto bucket = claim_bucket(make_environment());
    bucket.want(want("c1"), at(0));
    const auto write =
        single_action<write_bucket>(bucket.was_read(absent(), at(1)));
    single_action<read_bucket>(bucket.was_written(
        make_error_code(platform_errc::outcome_unknown), at(2)));
    const auto decided = single_action<claim_decided>(
        bucket.was_read(std::pair(std::uint64_t(4), write.value), at(3)));
    EXPECT_FALSE(decided.error);
    EXPECT_EQ(decided.verdict, claim_verdict::granted);
}

TEST(claim_bucket, never_grants_after_the_deadline_and_releases_the_claim)
{
    auto bucket = claim_bucket(make_environment());
    bucket.want(want("c1"), at(0));
    const auto write =
        single_action<write_bucket>(bucket.was_read(absent(), at(1)));
    const auto decided = single_action<claim_decided>(bucket.advance(at(1000)));
    EXPECT_EQ(decided.error, claims_errc::deadline_passed);
    const auto release = single_action<write_bucket>(
        bucket.was_written(std::uint64_t(3), at(1001)));
    EXPECT_TRUE(decode(release.value).value().records.empty());
}

TEST(claim_bucket, rejects_immediately_when_the_store_is_unavailable)
{
    auto bucket = claim_bucket(make_environment());
    bucket.want(want("c1"), at(0));
    const auto decided = single_action<claim_decided>(
        bucket.was_read(make_error_code(platform_errc::unavailable), at(1)));
    EXPECT_EQ(decided.error, claims_errc::store_unavailable);
    EXPECT_EQ(bucket.pending(), 0U);
}

TEST(claim_bucket, distinguishes_live_and_dead_holders)
{
    for (const auto& [node, verdict] :
         {std::pair("alive", claim_verdict::in_progress),
          std::pair("dead", claim_verdict::outcome_unknown)}) {
        auto bucket = claim_bucket(make_environment());
        bucket.want(want("c1"), at(0));
        const auto decided = single_action<claim_decided>(
            bucket.was_read(holding(held_by(node)), at(1)));
        EXPECT_EQ(decided.verdict, verdict) << node;
    }
}

TEST(claim_bucket, replays_the_recorded_answer)
{
    auto record = held_by("dead");
    record.state = claim_state::completed;
    record.answer = "{}";
    auto bucket = claim_bucket(make_environment());
    bucket.want(want("c1"), at(0));
    const auto decided =
        single_action<claim_decided>(bucket.was_read(holding(record), at(1)));
    EXPECT_EQ(decided.verdict, claim_verdict::replayed);
    EXPECT_EQ(decided.record.answer, "{}");
}

TEST(claim_bucket, rejects_a_key_that_is_reused_for_another_request)
{
    auto record = held_by("alive");
    record.fingerprint = "another";
    auto bucket = claim_bucket(make_environment());
    bucket.want(want("c1"), at(0));
    const auto decided =
        single_action<claim_decided>(bucket.was_read(holding(record), at(1)));
    EXPECT_EQ(decided.error, claims_errc::key_reused);
}

TEST(claim_bucket, rejects_claims_that_exceed_the_bucket_size)
{
    auto environment = make_environment();
    environment.max_value_bytes = 3000;
    auto bucket = claim_bucket(environment);
    bucket.want(want("c1", "k1"), at(0));
    bucket.want(want("c2", "k2"), at(0));
    const auto actions = bucket.was_read(absent(), at(1));
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<claim_decided>(actions[0]).error,
              claims_errc::bucket_full);
}

TEST(claim_bucket, retries_writing_an_end_until_the_store_is_available)
{
    auto bucket = claim_bucket(make_environment());
    bucket.want(want("c1"), at(0));
    bucket.was_read(absent(), at(1));
    const auto granted = single_action<claim_decided>(
        bucket.was_written(std::uint64_t(3), at(2)));
    auto record = granted.record;
    record.state = claim_state::completed;
    record.answer = "done";
    single_action<write_bucket>(bucket.finish("k", record, at(3)));
    bucket.was_written(make_error_code(platform_errc::unavailable), at(4));
    EXPECT_EQ(bucket.pending(), 1U);
    single_action<read_bucket>(bucket.advance(at(200)));
    auto contents = bucket_contents();
    contents.records.emplace("k", granted.record);
    const auto write = single_action<write_bucket>(bucket.was_read(
        std::pair(std::uint64_t(3), encode(contents)), at(201)));
    EXPECT_EQ(decode(write.value).value().records.at("k").answer, "done");
    single_action<end_recorded>(bucket.was_written(std::uint64_t(4), at(202)));
}

TEST(claim_bucket, replays_an_end_that_is_not_in_the_store_yet)
{
    auto bucket = claim_bucket(make_environment());
    bucket.want(want("c1"), at(0));
    bucket.was_read(absent(), at(1));
    auto record = single_action<claim_decided>(
                      bucket.was_written(std::uint64_t(3), at(2)))
                      .record;
    record.state = claim_state::completed;
    record.answer = "done";
    bucket.finish("k", record, at(3));
    EXPECT_TRUE(bucket.want(want("c2"), at(4)).empty());
    const auto actions = bucket.was_written(std::uint64_t(4), at(5));
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<claim_decided>(actions[1]).verdict,
              claim_verdict::replayed);
}

TEST(record_key, separates_workspace_and_key)
{
    EXPECT_NE(record_key("ab", "c"), record_key("a", "bc"));
}

TEST(bucket_contents, round_trips_through_encoding)
{
    auto contents = bucket_contents();
    contents.records.emplace("k", held_by("n\"2"));
    EXPECT_EQ(decode(encode(contents)).value(), contents);
    EXPECT_FALSE(decode("{}"));
}

} // namespace almondtiller::claims
