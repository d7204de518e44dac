#include "services/gateway/event_stream.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::gateway {

TEST(event_stream, returns_complete_events_only)
{
    auto stream = event_stream();
    EXPECT_EQ(stream.feed("id: 1\ndata: a\n"), "");
    EXPECT_EQ(stream.feed("\nid: 2\ndata"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(stream.last_id(), "1");
    EXPECT_EQ(stream.incomplete_event(), "id: 2\ndata");
    EXPECT_EQ(stream.event_count(), 1U);
}

TEST(event_stream, accepts_both_line_endings)
{
    auto stream = event_stream();
    EXPECT_EQ(stream.feed("id: 1\r\ndata: a\r\n\r"), "");
    EXPECT_EQ(stream.feed("\nid: 2\r\n"), "id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(stream.last_id(), "1");
    EXPECT_EQ(stream.event_count(), 1U);
    EXPECT_EQ(stream.feed("\r\n"), "id: 2\r\n\r\n");
    EXPECT_EQ(stream.last_id(), "2");
}

TEST(event_stream, another_upstream_resumes_after_the_last_complete_event)
{
    auto stream = event_stream();
    stream.feed("id:7\ndata: a\n\nid:8\nda");
    stream.discard_incomplete_event();
    EXPECT_EQ(stream.last_id(), "7");
    EXPECT_EQ(stream.feed("id:8\ndata: b\n\n"), "id:8\ndata: b\n\n");
    EXPECT_EQ(stream.last_id(), "8");
}

RC_GTEST_PROP(event_stream, changes_no_bytes,
              (const std::vector<std::string>& pieces))
{
    auto stream = event_stream();
    auto fed = std::string();
    auto returned = std::string();
    for (const auto& piece : pieces) {
        fed += piece;
        returned += stream.feed(piece);
    }
    RC_ASSERT(returned + stream.incomplete_event() == fed);
}

} // namespace almondtiller::gateway
