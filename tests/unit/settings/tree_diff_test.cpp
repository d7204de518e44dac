#include "settings/settings.h"
#include "settings/tree_diff.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace almondtiller::settings {

namespace {

auto tree_of(const char* text) -> declaration_tree
{
    return declaration_tree::parse(text).value();
}

const auto stored = tree_of(R"({"pools": {"desk": {"queue_limit": 4},
                                          "yard": {}}})");
const auto declared = tree_of(R"({"pools": {"desk": {"queue_limit": 5}},
                                  "zones": {"a": {}}})");

} // namespace

TEST(diff, lists_what_was_added_changed_and_removed)
{
    EXPECT_EQ(
        diff(stored, declared),
        (std::vector<difference>{
            {difference_kind::changed, "pools/desk/queue_limit", "4", "5"},
            {difference_kind::removed, "pools/yard", "{}", ""},
            {difference_kind::added, "zones", "", R"({"a":{}})"}}));
    EXPECT_TRUE(diff(stored, stored).empty());
}

TEST(overlay, keeps_declarations_that_are_only_stored)
{
    const auto merged = overlay(stored, declared);
    EXPECT_TRUE(merged.document()["pools"].contains("yard"));
    EXPECT_EQ(merged.document()["pools"]["desk"]["queue_limit"], 5);
    EXPECT_EQ(overlay(merged, declared), merged);
}

TEST(explain, names_the_level_that_sets_the_value)
{
    const auto tree = tree_of(R"({"root": {"max_tokens": 9, "weight": 3},
        "pipelines": {"chat": {"max_attempts": 2, "stages": [
            {"name": "reply", "kind": "generate", "pool": "p"}]}},
        "workspaces": {"huye": {}}})");
    const auto stage = std::string("pipelines/chat/stages/reply/");
    EXPECT_EQ(explain(tree, stage + "pool").value().origin, stage + "pool");
    EXPECT_EQ(explain(tree, stage + "max_attempts").value().origin,
              "pipelines/chat/max_attempts");
    EXPECT_EQ(explain(tree, stage + "max_tokens").value().origin,
              "root/max_tokens");
    EXPECT_EQ(explain(tree, "workspaces/huye/weight").value().value, "3");
    const auto fallback = explain(tree, stage + "hedge").value();
    EXPECT_EQ(fallback.origin, "");
    EXPECT_EQ(fallback.value, "false");
    EXPECT_EQ(explain(tree, stage + "weight").error(),
              settings_errc::unknown_key);
    EXPECT_EQ(explain(tree, "pools/none/models").error(),
              settings_errc::missing_reference);
    EXPECT_EQ(explain(tree, "root").error(), settings_errc::missing_reference);
    EXPECT_EQ(explain(tree, "").error(), settings_errc::missing_reference);
}

} // namespace almondtiller::settings
