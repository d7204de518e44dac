#include "settings/settings.h"

#include <gtest/gtest.h>

namespace almondtiller::settings {

TEST(resolve, inherits_values_that_a_child_does_not_set)
{
    const auto tree = declaration_tree::parse(R"({
        "root": {"max_attempts": 2, "queue_limit": 10},
        "pipelines": {"redraft": {"default_deadline": "2s", "stages": [
            {"name": "draft", "kind": "generate", "pool": "engines"}]}},
        "pools": {"engines": {"queue_limit": 20}, "other": {}}})");
    ASSERT_TRUE(tree);
    const auto resolved = resolve(tree.value(), 7);
    const auto* pipeline =
        resolved->find_pipeline(core::pipeline_name("redraft"));
    ASSERT_NE(pipeline, nullptr);
    EXPECT_EQ(pipeline->default_deadline, milliseconds(2000));
    EXPECT_EQ(pipeline->stages.at(0).kind, stage_kind::generate);
    EXPECT_EQ(pipeline->stages.at(0).max_attempts, 2U);
    EXPECT_EQ(resolved->find_pool(core::pool_name("engines"))->queue_limit,
              20U);
    EXPECT_EQ(resolved->find_pool(core::pool_name("other"))->queue_limit, 10U);
    EXPECT_EQ(resolved->revision, 7U);
}

TEST(parse, rejects_text_that_is_not_a_json_object)
{
    EXPECT_EQ(declaration_tree::parse("[1").error(),
              settings_errc::malformed_json);
    EXPECT_EQ(declaration_tree::parse("3").error(),
              settings_errc::malformed_json);
}

} // namespace almondtiller::settings
