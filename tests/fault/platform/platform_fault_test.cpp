#include "fixture/fixture.h"

#include <gtest/gtest.h>

namespace almondtiller::fault {

namespace {

using harness::call_outcome;

class platform_fault : public testing::Test
{
protected:
    platform_fault() : cluster(fault_plan({}))
    {
        EXPECT_TRUE(this->cluster.wait_until_serving(lookup_request()));
        EXPECT_TRUE(this->cluster.wait_until_serving(confirm_request("first")));
    }

    auto run(std::vector<load::traffic_class> classes, double rate)
        -> std::vector<load::traffic_record>
    {
        auto plan = load::traffic_plan();
        plan.classes = std::move(classes);
        plan.rate = rate;
        plan.length = std::chrono::seconds(3);
        return start_traffic(this->cluster, plan)->finish();
    }

    harness::cluster cluster;
};

auto confirmations() -> std::vector<load::traffic_class>
{
    auto request = confirm_request("key");
    request.deadline = core::milliseconds(1500);
    return {{"confirm", request, false, 1.0}};
}

} // namespace

TEST_F(platform_fault, down_does_not_stop_lookups)
{
    this->cluster.set_platform_fault(R"({"mode":"down"})");
    const auto records =
        this->run({{"lookup", lookup_request(), true, 1.0}}, 100.0);
    EXPECT_EQ(load::count(records, call_outcome::complete), records.size())
        << load::describe(records);
}

TEST_F(platform_fault, down_refuses_confirmations_truly)
{
    this->cluster.set_platform_fault(R"({"mode":"down"})");
    const auto records = this->run(confirmations(), 20.0);
    EXPECT_EQ(check_invariants(this->cluster, records), invariants())
        << load::describe(records);
    this->cluster.set_platform_fault(R"({"mode":"up"})");
    EXPECT_TRUE(this->cluster.wait_until_serving(confirm_request("again")));
}

TEST_F(platform_fault, that_loses_answers_runs_no_confirmation_twice)
{
    this->cluster.set_platform_fault(
        R"({"mode":"drop_answers","probability":0.5,"seed":7})");
    const auto records = this->run(confirmations(), 20.0);
    EXPECT_EQ(check_invariants(this->cluster, records), invariants())
        << load::describe(records);
    EXPECT_GT(load::count(records, call_outcome::complete), 0U)
        << load::describe(records);
}

TEST_F(platform_fault, that_is_slow_dispatches_nothing_after_the_answer)
{
    this->cluster.set_platform_fault(R"({"mode":"slow","delay_ms":1400})");
    const auto records = this->run(confirmations(), 10.0);
    this->cluster.set_platform_fault(R"({"mode":"up"})");
    EXPECT_TRUE(this->cluster.wait_until_serving(confirm_request("again")));
    EXPECT_EQ(check_invariants(this->cluster, records), invariants())
        << load::describe(records);
}

} // namespace almondtiller::fault
