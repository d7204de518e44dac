#include "core/random.h"
#include "fakes/model_store.h"
#include "orders/orders.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace almondtiller::orders {

namespace {

using core::milliseconds;
using platform::platform_errc;

constexpr auto timing =
    lease_timing{milliseconds(10000), milliseconds(1000), milliseconds(300)};

auto at(int ms) -> core::time_point
{
    return core::time_point(milliseconds(ms));
}

using read_value = core::result<std::pair<std::uint64_t, lease_value>>;

auto absent() -> read_value
{
    return make_error_code(platform_errc::not_found);
}

auto held_by(const std::string& holder, std::uint64_t version) -> read_value
{
    return std::pair(version, lease_value{holder, 1, 4, 9, 10000});
}

auto make_candidate() -> lease_keeper
{
    auto keeper = lease_keeper("n1", 1, timing);
    keeper.set_candidate(true);
    return keeper;
}

} // namespace

TEST(lease_keeper, acquires_an_absent_lease_and_may_order_immediately)
{
    auto keeper = make_candidate();
    ASSERT_EQ(keeper.advance(at(0)).size(), 1U);
    const auto actions = keeper.was_read(absent(), at(1));
    const auto write = std::get<write_lease>(actions.at(0));
    EXPECT_EQ(write.value.fencing, 1U);
    keeper.was_written(std::uint64_t(3), at(2));
    EXPECT_EQ(keeper.may_order(at(2)), 1U);
}

TEST(lease_keeper, stops_ordering_before_an_order_could_outlast_the_lease)
{
    auto keeper = make_candidate();
    keeper.advance(at(0));
    keeper.was_read(absent(), at(0));
    keeper.was_written(std::uint64_t(3), at(5));
    EXPECT_TRUE(keeper.may_order(at(8000)));
    EXPECT_FALSE(keeper.may_order(at(8400)));
}

TEST(lease_keeper, takes_over_only_after_a_lease_duration_without_change)
{
    auto keeper = make_candidate();
    keeper.advance(at(0));
    EXPECT_TRUE(keeper.was_read(held_by("n2", 7), at(1)).empty());
    keeper.advance(at(5000));
    EXPECT_TRUE(keeper.was_read(held_by("n2", 8), at(5001)).empty());
    keeper.advance(at(12000));
    EXPECT_TRUE(keeper.was_read(held_by("n2", 8), at(12001)).empty());
    keeper.advance(at(15400));
    const auto actions = keeper.was_read(held_by("n2", 8), at(15401));
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<write_lease>(actions[0]).value.fencing, 5U);
    keeper.was_written(std::uint64_t(9), at(15402));
    EXPECT_FALSE(keeper.may_order(at(15403)));
    EXPECT_TRUE(keeper.may_order(at(16402)));
}

TEST(lease_keeper, detects_by_reading_that_an_unconfirmed_write_took_effect)
{
    auto keeper = make_candidate();
    keeper.advance(at(0));
    const auto actions = keeper.was_read(absent(), at(0));
    const auto write = std::get<write_lease>(actions.at(0));
    keeper.was_written(make_error_code(platform_errc::outcome_unknown), at(50));
    EXPECT_FALSE(keeper.may_order(at(50)));
    ASSERT_EQ(keeper.advance(at(50)).size(), 1U);
    keeper.was_read(std::pair(std::uint64_t(3), write.value), at(60));
    EXPECT_TRUE(keeper.may_order(at(60)));
}

TEST(lease_keeper, drops_the_lease_on_a_version_conflict)
{
    auto keeper = make_candidate();
    keeper.advance(at(0));
    keeper.was_read(absent(), at(0));
    keeper.was_written(std::uint64_t(3), at(1));
    ASSERT_EQ(keeper.advance(at(4000)).size(), 1U);
    keeper.was_written(make_error_code(platform_errc::version_conflict),
                       at(4001));
    EXPECT_FALSE(keeper.may_order(at(4001)));
}

namespace {

/// Model of nodes that compete for one lease and are paused at random.
class lease_model
{
public:
    explicit lease_model(std::uint64_t seed) : random(seed), store(seed + 1)
    {
        for (auto index = 0U; index < node_count; ++index) {
            this->nodes.emplace_back("n" + std::to_string(index));
            this->nodes.back().keeper.set_candidate(true);
        }
    }

    auto run() -> void
    {
        for (auto step = 0; step < 3000; ++step) {
            this->now += milliseconds(this->random.below(100));
            this->step(this->nodes[this->random.below(node_count)]);
        }
        RC_ASSERT(this->orders > 0);
    }

private:
    static constexpr auto node_count = 3U;

    struct node
    {
        explicit node(const std::string& name) : keeper(name, 1, timing)
        {}
        lease_keeper keeper;
        std::deque<lease_action> calls;
        core::time_point paused_until;
    };

    auto step(node& chosen) -> void
    {
        if (this->now < chosen.paused_until) {
            return;
        }
        if (this->random.below(200) == 0) {
            chosen.paused_until =
                this->now + milliseconds(this->random.below(30000));
            return;
        }
        this->order(chosen);
        this->enqueue(chosen, chosen.keeper.advance(this->now));
        if (!chosen.calls.empty()) {
            this->complete_call(chosen);
        }
    }

    /// Sends an order if allowed. The order may be in flight for longest_order,
    /// so orders of different holders must not overlap within that time.
    auto order(node& chosen) -> void
    {
        const auto fencing = chosen.keeper.may_order(this->now);
        if (!fencing) {
            return;
        }
        ++this->orders;
        RC_ASSERT(*fencing >= this->newest_fencing);
        if (&chosen != this->last_holder) {
            RC_ASSERT(*fencing > this->newest_fencing);
            RC_ASSERT(this->now >= this->order_ends);
        }
        this->last_holder = &chosen;
        this->newest_fencing = *fencing;
        this->order_ends = this->now + timing.longest_order;
    }

    auto enqueue(node& chosen, const lease_actions& actions) -> void
    {
        chosen.calls.insert(chosen.calls.end(), actions.begin(), actions.end());
    }

    auto complete_call(node& chosen) -> void
    {
        const auto call = chosen.calls.front();
        chosen.calls.pop_front();
        if (const auto* write = std::get_if<write_lease>(&call)) {
            const auto answer =
                this->store.write(write->expected, encode(write->value));
            this->enqueue(chosen, chosen.keeper.was_written(answer, this->now));
            return;
        }
        const auto answer = this->store.read();
        const auto value =
            answer ? read_value(
                         std::pair(answer.value().first,
                                   decode_lease(answer.value().second).value()))
                   : read_value(answer.error());
        this->enqueue(chosen, chosen.keeper.was_read(value, this->now));
    }

    core::random_source random;
    fakes::model_store store;
    core::time_point now;
    std::vector<node> nodes;
    const node* last_holder = nullptr;
    std::uint64_t newest_fencing = 0;
    core::time_point order_ends;
    std::uint64_t orders = 0;
};

} // namespace

RC_GTEST_PROP(lease_keeper_property, orders_of_different_holders_never_overlap,
              ())
{
    lease_model(*rc::gen::arbitrary<std::uint64_t>()).run();
}

} // namespace almondtiller::orders
