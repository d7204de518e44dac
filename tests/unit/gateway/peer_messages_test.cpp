#include "services/gateway/peer_messages.h"

#include "services/gateway/directory_choice.h"
#include "services/gateway/owner_choice.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::gateway {

TEST(peer_messages, carry_times_as_what_is_left)
{
    const auto sent = core::time_point(std::chrono::hours(1));
    const auto received = core::time_point(std::chrono::hours(9));
    auto message = stage_message();
    message.service = serving::service_name("s");
    message.work.items.resize(2);
    message.work.items[1].inputs = {"h"};
    message.work.due = sent + core::milliseconds(300);
    message.work.deadline = sent + core::milliseconds(900);
    message.work.zone = core::zone_name("z");
    const auto read = decode_stage(encode(message, sent), received);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().work.due, received + core::milliseconds(300));
    EXPECT_EQ(read.value().work.deadline, received + core::milliseconds(900));
    EXPECT_EQ(read.value().work.items, message.work.items);
}

TEST(peer_messages, carry_what_a_node_says_of_itself)
{
    auto status = node_status();
    status.is_ready = true;
    status.front = {"127.0.0.1", 80};
    status.zone = core::zone_name("z");
    status.capacity = {0.5, 200};
    status.revisions = {4, 5, 6, 7};
    status.configuration = 9;
    const auto read = decode_status(encode(status));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), status);
}

TEST(peer_messages, carry_a_placement_there_and_back)
{
    const auto now = core::time_point(std::chrono::hours(1));
    auto message = place_message();
    message.service = serving::service_name("s");
    message.request.request = core::request_id("r");
    message.request.prompt = {{"p", 9}};
    message.request.inputs = {{core::zone_name("z"), 5}};
    message.request.excluded = {core::upstream_id("i")};
    message.request.due = now;
    message.request.deadline = now;
    message.request.is_repeat = true;
    const auto read = decode_place(encode(message, now), now);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().request.prompt, message.request.prompt);
    EXPECT_EQ(read.value().request.inputs, message.request.inputs);
    EXPECT_EQ(read.value().request.excluded, message.request.excluded);
    EXPECT_TRUE(read.value().request.is_repeat);

    auto outcome = dispatch::placement_outcome();
    outcome.upstream.id = core::upstream_id("i");
    outcome.upstream.address = {"127.0.0.1", 80};
    const auto answered = decode_placement_outcome(encode(outcome));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().upstream.address, outcome.upstream.address);
}

RC_GTEST_PROP(peer_messages, survive_any_bytes, (const std::string& bytes))
{
    const auto now = core::time_point();
    static_cast<void>(decode_status(bytes));
    static_cast<void>(decode_stage(bytes, now));
    static_cast<void>(decode_place(bytes, now));
    static_cast<void>(decode_stage_outcome(bytes));
    static_cast<void>(decode_placement_outcome(bytes));
    static_cast<void>(decode_reports(bytes));
    static_cast<void>(decode_free(bytes));
}

// Load pattern: a large fleet of small machines beside a few large ones; the
// owner of a stage service on a small one halved the throughput of all.
TEST(owner_choice, takes_the_large_machines)
{
    const auto candidate = [](const char* name, double cores, double link) {
        return owner_candidate{core::node_id(name), {cores, link}};
    };
    const auto owners =
        choose_owners({candidate("small", 0.12, 10), candidate("a", 0.5, 200),
                       candidate("b", 0.5, 150)});
    EXPECT_EQ(owners, (std::vector<core::node_id>{core::node_id("a"),
                                                  core::node_id("b")}));
    EXPECT_EQ(choose_owners({candidate("x", 0.1, 200), candidate("y", 0.5, 10)})
                  .size(),
              2U);
    EXPECT_TRUE(choose_owners({}).empty());
}

TEST(owner_choice, a_large_fleet_has_a_few_watchers)
{
    auto owners = std::vector<core::node_id>();
    for (auto number = 10; number < 40; ++number) {
        owners.emplace_back("n" + std::to_string(number));
    }
    EXPECT_TRUE(choose_watchers(owners, 12).empty());
    const auto watchers = choose_watchers(owners, 84);
    EXPECT_EQ(watchers.size(), 8U);
    std::reverse(owners.begin(), owners.end());
    EXPECT_EQ(choose_watchers(owners, 84), watchers);
}

TEST(directory_choice, names_the_callers_zone_first)
{
    const auto chosen =
        choose_fronts({{core::zone_name("a"), {"127.0.0.1", 1}},
                       {core::zone_name("b"), {"127.0.0.1", 2}},
                       {core::zone_name("a"), {"127.0.0.1", 3}}},
                      core::zone_name("b"));
    ASSERT_EQ(chosen.size(), 3U);
    EXPECT_EQ(chosen[0].port, 2);
}

} // namespace almondtiller::gateway
