#include "fixture/fixture.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace almondtiller::fault {

namespace {

constexpr auto bound = std::chrono::seconds(3);

auto to_us(core::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               time.time_since_epoch())
        .count();
}

auto starts_after(const std::vector<std::string>& journals,
                  core::time_point time) -> std::int64_t
{
    const auto entries = harness::read_journals(journals);
    return std::count_if(
        entries.begin(), entries.end(), [&](const auto& entry) {
            return entry.event == "start" && entry.time_us > to_us(time);
        });
}

class leaving_upstream : public testing::Test
{
protected:
    leaving_upstream() : cluster(fault_plan({}))
    {
        EXPECT_TRUE(this->cluster.wait_until_serving(chat_request(4)));
        auto plan = load::traffic_plan();
        plan.classes = mixed_classes();
        plan.rate = 50.0;
        plan.length = std::chrono::seconds(8);
        this->traffic = start_traffic(this->cluster, plan);
        harness::let_pass(core::milliseconds(1000));
    }

    auto expect_nothing_cut() -> void
    {
        const auto& records = this->traffic->finish();
        EXPECT_EQ(load::count(records, harness::call_outcome::complete),
                  records.size())
            << load::describe(records);
        EXPECT_EQ(check_invariants(this->cluster, records), invariants());
    }

    harness::cluster cluster;
    std::unique_ptr<load::traffic> traffic;
};

} // namespace

TEST_F(leaving_upstream, gets_no_new_work_after_three_seconds)
{
    auto& engine = *this->cluster.pool("engines").front();
    engine.leaving = true;
    this->cluster.publish_instances();
    const auto told = harness::now();
    this->expect_nothing_cut();
    EXPECT_EQ(starts_after({engine.journal_path}, told + bound), 0);
    EXPECT_GT(starts_after(this->cluster.journals("engines"), told + bound), 0);
}

TEST_F(leaving_upstream, of_a_zone_taken_out_gets_no_new_work)
{
    ASSERT_TRUE(this->cluster.set_zone("fault-a", false));
    const auto told = harness::now();
    this->expect_nothing_cut();
    auto journals = std::vector<std::string>();
    for (const auto& upstream : this->cluster.upstreams()) {
        if (upstream.zone == "fault-a") {
            journals.push_back(upstream.journal_path);
        }
    }
    EXPECT_EQ(starts_after(journals, told + bound), 0);
}

} // namespace almondtiller::fault
