#include "run_command.h"
#include "tillerctl/log_history.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace almondtiller::tillerctl {
namespace {

auto history_of(const std::string& request, const std::string& text)
    -> std::optional<request_history>
{
    auto input = std::istringstream(text);
    return explain_request(request, read_log(input));
}

auto deciding_event(const std::optional<request_history>& history)
    -> std::string
{
    return history && history->deciding
               ? history->lines[*history->deciding].event
               : "none";
}

TEST(log_line, is_read_with_quoted_values_and_behind_a_collectors_prefix)
{
    const auto line = parse_log_line(
        "33.9 front-a ms=120 node=front-a event=attempt_broken request=r1 "
        "error=\"Connection reset by peer\" sent=yes");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->node, "front-a");
    EXPECT_EQ(line->event, "attempt_broken");
    EXPECT_EQ(line->steady_ms, 120);
    EXPECT_EQ(line->field("error"), "Connection reset by peer");
    EXPECT_EQ(line->field("sent"), "yes");
    EXPECT_FALSE(parse_log_line("listening on 127.0.0.1"));
    EXPECT_FALSE(parse_log_line("ms=soon node=a event=ready"));
    EXPECT_FALSE(parse_log_line(""));
}

TEST(explain_request, puts_lines_of_nodes_with_other_clocks_in_one_order)
{
    const auto history = history_of(
        "r1", "ms=50 node=owner event=clock wall_ms=1000050\n"
              "ms=60 node=owner event=stage_refused request=r1 service=feed "
              "reason=not_in_time queue_ms=900 left_ms=400\n"
              "ms=700000 node=front event=clock wall_ms=1000040\n"
              "ms=700015 node=front event=refused request=r1 "
              "reason=stage_overloaded status=503 elapsed_ms=12 attempts=0\n"
              "ms=61 node=owner event=refused request=r2 reason=no_upstream\n");
    ASSERT_TRUE(history);
    ASSERT_EQ(history->lines.size(), 2U);
    EXPECT_EQ(history->lines[0].event, "refused")
        << "5 ms before the owner's line by the time of day";
    EXPECT_EQ(history->lines[0].wall_ms, 1000055);
    EXPECT_EQ(history->lines[1].wall_ms, 1000060);
}

TEST(explain_request, names_the_owners_line_for_a_refusal)
{
    const auto history = history_of(
        "r1", "ms=10 node=a event=clock wall_ms=1010\n"
              "ms=20 node=a event=stage_refused request=r1 service=feed\n"
              "ms=21 node=a event=refused request=r1 reason=stage_overloaded "
              "attempts=0 elapsed_ms=4\n");
    EXPECT_EQ(deciding_event(history), "stage_refused");
    EXPECT_NE(history->cause.find("before a stage"), std::string::npos);
}

TEST(explain_request, shows_what_was_believed_of_the_upstream)
{
    const auto history = history_of(
        "r1",
        "ms=100 node=a event=upstream_changed upstream=u1 draining=no\n"
        "ms=4000 node=b event=upstream_removed upstream=u1\n"
        "ms=4001 node=b event=upstream_removed upstream=u2\n"
        "ms=4100 node=a event=sent request=r1 service=desk upstream=u1\n"
        "ms=4150 node=a event=attempt_broken request=r1 upstream=u1 "
        "error=\"Connection reset by peer\" sent=yes events=0\n"
        "ms=4151 node=a event=failed request=r1 reason=upstream_broke_off "
        "status=502 elapsed_ms=60 attempts=1\n"
        "ms=4160 node=a event=store_lost kind=1\n");
    ASSERT_TRUE(history);
    auto events = std::vector<std::string>();
    for (const auto& line : history->lines) {
        events.push_back(line.event);
    }
    EXPECT_EQ(events, (std::vector<std::string>{"upstream_removed", "sent",
                                                "attempt_broken", "failed"}));
    EXPECT_EQ(deciding_event(history), "attempt_broken");
}

TEST(explain_request, tells_a_silent_upstream_from_a_long_wait)
{
    const auto silent = history_of(
        "r1", "ms=10 node=a event=sent request=r1 upstream=u1 left_ms=1000\n"
              "ms=1010 node=a event=failed request=r1 reason=time_over "
              "status=504 elapsed_ms=1000 attempts=1\n");
    EXPECT_EQ(deciding_event(silent), "sent");
    const auto waited = history_of(
        "r1", "ms=1010 node=a event=refused request=r1 reason=time_over "
              "status=503 elapsed_ms=1000 attempts=0\n");
    EXPECT_EQ(deciding_event(waited), "refused");
    EXPECT_NE(silent->cause, waited->cause);
}

TEST(explain_request, says_when_the_end_or_the_request_is_not_there)
{
    const auto history =
        history_of("r1", "ms=10 node=a event=sent request=r1 upstream=u1\n");
    EXPECT_EQ(deciding_event(history), "none");
    EXPECT_NE(history->cause.find("not in these logs"), std::string::npos);
    EXPECT_FALSE(history_of("r9", "ms=10 node=a event=sent request=r1\n"));
}

TEST(explain_request, is_a_command)
{
    const auto path = std::filesystem::path(testing::TempDir()) /
                      "explain_request_is_a_command.log";
    std::ofstream(path) << "ms=10 node=a event=rejected request=r1 "
                           "reason=unknown_key status=401 config=7\n";
    const auto shown =
        run_command({"explain-request", "r1", "--log", path.string()});
    EXPECT_EQ(shown.status, exit_status::success);
    EXPECT_NE(shown.out.find("> 0 ms a rejected"), std::string::npos)
        << shown.out;
    EXPECT_NE(shown.out.find("unknown_key"), std::string::npos);
    const auto json = run_command(
        {"explain-request", "r1", "--log", path.string(), "--output", "json"});
    EXPECT_NE(json.out.find("\"decides\": true"), std::string::npos);
    EXPECT_EQ(
        run_command({"explain-request", "r2", "--log", path.string()}).status,
        exit_status::failure);
    EXPECT_EQ(run_command({"explain-request", "r1"}).status,
              exit_status::usage);
    EXPECT_EQ(
        run_command({"explain-request", "r1", "--log", "/nowhere"}).status,
        exit_status::failure);
    std::filesystem::remove(path);
}

} // namespace
} // namespace almondtiller::tillerctl
