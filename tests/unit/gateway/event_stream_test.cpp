#include "services/gateway/event_stream.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::gateway {

TEST(event_stream, passes_on_whole_events_only)
{
    auto stream = event_stream();
    EXPECT_EQ(stream.feed("id: 1\ndata: a\n"), "");
    EXPECT_EQ(stream.feed("\nid: 2\ndata"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(stream.last_id(), "1");
    EXPECT_EQ(stream.rest(), "id: 2\ndata");
    EXPECT_EQ(stream.events(), 1U);
}

TEST(event_stream, knows_both_ends_of_lines)
{
    auto stream = event_stream();
    EXPECT_EQ(stream.feed("id: 1\r\ndata: a\r\n\r"), "");
    EXPECT_EQ(stream.feed("\nid: 2\r\n"), "id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(stream.last_id(), "1");
    EXPECT_EQ(stream.events(), 1U);
    EXPECT_EQ(stream.feed("\r\n"), "id: 2\r\n\r\n");
    EXPECT_EQ(stream.last_id(), "2");
}

TEST(event_stream, another_upstream_goes_on_after_the_last_whole_event)
{
    auto stream = event_stream();
    stream.feed("id:7\ndata: a\n\nid:8\nda");
    stream.restart();
    EXPECT_EQ(stream.last_id(), "7");
    EXPECT_EQ(stream.feed("id:8\ndata: b\n\n"), "id:8\ndata: b\n\n");
    EXPECT_EQ(stream.last_id(), "8");
}

RC_GTEST_PROP(event_stream, changes_no_byte,
              (const std::vector<std::string>& pieces))
{
    auto stream = event_stream();
    auto fed = std::string();
    auto passed = std::string();
    for (const auto& piece : pieces) {
        fed += piece;
        passed += stream.feed(piece);
    }
    RC_ASSERT(passed + stream.rest() == fed);
}

} // namespace almondtiller::gateway
