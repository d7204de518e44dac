#include "logging/logging.h"

#include <gtest/gtest.h>

#include <sstream>

namespace almondtiller::logging {

namespace {

/// \return The line written for a state change, without its time.
auto line_of(log_format format) -> std::string
{
    auto stream = std::ostringstream();
    set_up(format, stream);
    state_change("zone_state", {{"zone", "a"}, {"why", "two \"words\""}});
    shut_down();
    const auto line = stream.str();
    const auto event = line.find("event");
    return event == std::string::npos ? line : line.substr(event);
}

} // namespace

TEST(state_change, writes_key_value_pairs)
{
    EXPECT_EQ(line_of(log_format::text),
              "event=zone_state zone=a why=\"two \\\"words\\\"\"\n");
}

TEST(state_change, writes_one_json_object)
{
    EXPECT_EQ(line_of(log_format::json),
              "event\":\"zone_state\",\"zone\":\"a\",\"why\":\"two "
              "\\\"words\\\"\"}\n");
}

TEST(state_change, writes_nothing_without_a_log)
{
    shut_down();
    state_change("member_state", {});
}

} // namespace almondtiller::logging
