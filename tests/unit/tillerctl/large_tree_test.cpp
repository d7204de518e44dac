#include "fleet/config_shards.h"
#include "platform/object_store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondtiller::fleet {

namespace {

constexpr auto workspace_count = 49'000;

} // namespace

TEST(large_tree, every_shard_fits_the_platform)
{
    auto document = nlohmann::json::object();
    for (auto i = 0; i < workspace_count; ++i) {
        document["workspaces"]["workspace-" + std::to_string(i)] = {
            {"weight", 1 + i % 8}, {"max_in_flight", 64 + i % 100}};
    }
    const auto tree = settings::declaration_tree(document);
    const auto shards = split_tree(tree);
    auto largest = std::size_t(0);
    auto texts = shard_texts();
    auto refs = std::vector<shard_ref>();
    for (const auto& shard : shards) {
        largest = std::max(largest, shard.text.size());
        texts.emplace(shard.ref.digest, shard.text);
        refs.push_back(shard.ref);
    }
    EXPECT_LT(largest, platform::max_value_bytes);
    EXPECT_EQ(merge_shards(refs, texts).value(), tree);
    RecordProperty("largest_shard_bytes", int(largest));
}

} // namespace almondtiller::fleet
