#include "fake_object_store.h"

#include "fleet/config_assembler.h"
#include "fleet/config_publisher.h"
#include "fleet/fleet_errc.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondtiller::fleet {
namespace {

constexpr auto change_timeout = core::milliseconds(300);

auto tree_with(const std::string& weight) -> settings::declaration_tree
{
    return settings::declaration_tree::parse(
               R"({"zones":{"a":{},"b":{}},"workspaces":{"w":{"weight":)" +
               weight + "}}}")
        .value();
}

class config_publisher_test : public testing::Test
{
protected:
    fake_object_store store;
    core::runtime_clock clock;
    config_publisher publisher{store, clock, 1, change_timeout};
    change_info info{"ann", "test"};
};

TEST_F(config_publisher_test, publishes_and_reads_back)
{
    const auto tree = tree_with("3");
    const auto outcome = this->publisher.publish(tree, this->info, 0);
    EXPECT_EQ(outcome.state, change_state::applied);
    EXPECT_EQ(outcome.revision, 1U);
    const auto stored = this->publisher.current().value();
    EXPECT_EQ(stored.tree, tree);
    EXPECT_EQ(stored.zones.size(), 2U);
    EXPECT_EQ(stored.changes.back().who, "ann");
}

TEST_F(config_publisher_test, rejects_another_expected_revision)
{
    this->publisher.publish(tree_with("3"), this->info, 0);
    const auto outcome = this->publisher.publish(tree_with("4"), this->info, 0);
    EXPECT_EQ(outcome.state, change_state::not_applied);
    EXPECT_EQ(outcome.reason, fleet_errc::revision_conflict);
}

TEST_F(config_publisher_test, zone_override_survives_other_declarations)
{
    using settings::zone_state;
    this->publisher.publish(tree_with("3"), this->info, 0);
    const auto zone = core::zone_name("a");
    this->publisher.set_zone_state(zone, zone_state::out, this->info);
    this->publisher.publish(tree_with("4"), this->info, 2);
    EXPECT_EQ(this->publisher.current().value().zones.at(zone),
              zone_state::out);
    const auto unknown = this->publisher.set_zone_state(
        core::zone_name("x"), zone_state::out, this->info);
    EXPECT_EQ(unknown.reason, fleet_errc::unknown_zone);
}

TEST_F(config_publisher_test, lost_answer_is_found_in_the_head)
{
    this->store.head_write_behavior = [] {
        return write_behavior::answer_lost;
    };
    const auto outcome = this->publisher.publish(tree_with("3"), this->info, 0);
    EXPECT_EQ(outcome.state, change_state::applied);
    EXPECT_EQ(outcome.evidence, change_evidence::head_reread);
}

TEST_F(config_publisher_test, delayed_update_never_takes_effect_once_rejected)
{
    this->publisher.publish(tree_with("3"), this->info, 0);
    auto writes = 0;
    this->store.head_write_behavior = [&writes] {
        return writes++ == 0 ? write_behavior::delayed
                             : write_behavior::answered;
    };
    const auto outcome = this->publisher.publish(tree_with("4"), this->info, 1);
    EXPECT_EQ(outcome.state, change_state::not_applied);
    EXPECT_EQ(outcome.evidence, change_evidence::head_fenced);
    this->store.deliver_delayed();
    EXPECT_EQ(this->publisher.current().value().tree, tree_with("3"));
}

TEST_F(config_publisher_test, unknown_while_the_store_is_unavailable)
{
    auto is_unavailable = false;
    this->store.is_down = [&is_unavailable] {
        return is_unavailable;
    };
    this->store.head_write_behavior = [&is_unavailable] {
        is_unavailable = true;
        return write_behavior::answer_lost;
    };
    const auto outcome = this->publisher.publish(tree_with("3"), this->info, 0);
    EXPECT_EQ(outcome.state, change_state::unknown);
}

/// Two operators make concurrent changes while writes fail in any mixture of
/// ways. Changes reported as applied are in the history, changes reported as
/// not applied never are.
RC_GTEST_PROP(config_publisher_properties, reports_are_true,
              (std::vector<std::uint8_t> behaviors))
{
    auto store = fake_object_store();
    auto clock = core::runtime_clock();
    auto first = config_publisher(store, clock, 1, core::milliseconds(0));
    auto second = config_publisher(store, clock, 2, core::milliseconds(0));
    auto write = std::size_t(0);
    store.head_write_behavior = [&] {
        const auto behavior = write < behaviors.size() ? behaviors[write] : 0U;
        ++write;
        return write_behavior(behavior % 4U);
    };
    auto history = std::map<std::string, std::uint64_t>();
    auto outcomes = std::vector<change_outcome>();
    const auto record_history = [&] {
        const auto stored = first.current();
        for (const auto& change : stored.value().changes) {
            history[change.id] = change.revision;
        }
    };
    for (auto step = 0; step < 12; ++step) {
        auto& operator_publisher = step % 2 == 0 ? first : second;
        outcomes.push_back(operator_publisher.publish(
            tree_with(std::to_string(step)), {"op", "step"}, std::nullopt));
        record_history();
        if (step % 3 == 0) {
            store.deliver_delayed();
            record_history();
        }
    }
    store.deliver_delayed();
    record_history();
    for (const auto& outcome : outcomes) {
        RC_ASSERT(outcome.state != change_state::applied ||
                  history.contains(outcome.id));
        RC_ASSERT(outcome.state != change_state::not_applied ||
                  !history.contains(outcome.id));
    }
}

TEST(config_assembler_test, never_goes_back_and_checks_digests)
{
    const auto shards = split_tree(tree_with("3"));
    auto head = config_head();
    head.revision = 5;
    for (const auto& shard : shards) {
        head.shards.push_back(shard.ref);
    }
    head.zones[core::zone_name("a")] = settings::zone_state::out;
    auto assembler = config_assembler();
    EXPECT_FALSE(assembler.offer_head(head));
    EXPECT_EQ(assembler.missing().size(), shards.size());
    EXPECT_EQ(assembler.offer_shard(shards[0].ref.digest, "{}"),
              fleet_errc::digest_mismatch);
    EXPECT_EQ(assembler.advance(), nullptr);
    for (const auto& shard : shards) {
        EXPECT_FALSE(assembler.offer_shard(shard.ref.digest, shard.text));
    }
    ASSERT_NE(assembler.advance(), nullptr);
    EXPECT_FALSE(assembler.in_force()->is_zone_in(core::zone_name("a")));
    EXPECT_TRUE(assembler.in_force()->is_zone_in(core::zone_name("b")));
    head.revision = 4;
    EXPECT_EQ(assembler.offer_head(head), fleet_errc::stale_revision);
    EXPECT_EQ(assembler.in_force()->revision, 5U);
}

} // namespace
} // namespace almondtiller::fleet
