#include "core/clock.h"
#include "settings/settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace almondtiller::settings {

namespace {

constexpr auto workspace_count = 49'000;

auto large_tree() -> declaration_tree
{
    auto document = nlohmann::json::parse(R"({
        "zones": {"a": {"region": "r"}}, "pools": {"desk": {}},
        "pipelines": {"order": {"stages": [
            {"name": "order", "kind": "call", "pool": "desk"}]}}})");
    auto& workspaces = document["workspaces"];
    for (auto i = 0; i < workspace_count; ++i) {
        workspaces["workspace-" + std::to_string(i)] = {
            {"weight", 1 + i % 8}, {"max_in_flight", 64 + i % 100}};
    }
    return declaration_tree(document);
}

} // namespace

TEST(large_tree, is_validated_within_two_seconds)
{
    const auto clock = core::runtime_clock();
    const auto text = large_tree().text();
    const auto begin = clock.now();
    const auto tree = declaration_tree::parse(text);
    ASSERT_TRUE(tree);
    EXPECT_TRUE(validate(tree.value()).empty());
    const auto spent = clock.now() - begin;
    EXPECT_LT(spent, std::chrono::seconds(2));
    RecordProperty("validate_us", int(spent / std::chrono::microseconds(1)));
}

TEST(large_tree, resolves_one_value_within_a_microsecond)
{
    const auto clock = core::runtime_clock();
    const auto resolved = resolve(large_tree(), 1);
    auto names = std::vector<core::workspace_name>();
    for (auto i = 0; i < workspace_count; ++i) {
        names.emplace_back("workspace-" + std::to_string(i));
    }
    auto sum = std::uint64_t(0);
    const auto begin = clock.now();
    for (const auto& name : names) {
        sum += resolved->find_workspace(name)->weight;
    }
    const auto spent = clock.now() - begin;
    EXPECT_GT(sum, 0U);
    EXPECT_LT(spent / workspace_count, std::chrono::microseconds(1));
    RecordProperty("lookup_ns",
                   int(spent / workspace_count / std::chrono::nanoseconds(1)));
}

} // namespace almondtiller::settings
