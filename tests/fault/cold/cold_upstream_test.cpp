#include "fixture/fixture.h"

#include <gtest/gtest.h>

namespace almondtiller::fault {

namespace {

auto traffic_of(harness::cluster& cluster, double rate, int seconds)
    -> std::unique_ptr<load::traffic>
{
    auto plan = load::traffic_plan();
    plan.classes = mixed_classes();
    plan.rate = rate;
    plan.length = std::chrono::seconds(seconds);
    plan.workers = 64;
    return start_traffic(cluster, plan);
}

auto summary_of(const harness::cluster& cluster) -> harness::journal_summary
{
    return harness::summarize(harness::read_journals(cluster.journals()));
}

} // namespace

TEST(cold_upstream, gets_no_more_than_it_bears_from_six_nodes)
{
    auto cluster =
        harness::cluster(fault_plan({.nodes = 6, .starts_cold = true}));
    ASSERT_TRUE(cluster.wait_until_ready());
    const auto traffic = traffic_of(cluster, 60.0, 5);
    const auto& records = traffic->finish();
    EXPECT_EQ(check_invariants(cluster, records), invariants())
        << load::describe(records);
    EXPECT_EQ(summary_of(cluster).falls, 0U);
    EXPECT_GT(load::count(records, harness::call_outcome::complete), 0U)
        << load::describe(records);
}

TEST(cold_upstream, that_was_warm_is_spared_after_the_first_sign)
{
    auto cluster = harness::cluster(fault_plan({.nodes = 6}));
    ASSERT_TRUE(cluster.wait_until_serving(chat_request(4)));
    const auto traffic = traffic_of(cluster, 60.0, 5);
    harness::let_pass(core::milliseconds(1500));
    for (const auto* engine : cluster.pool("engines")) {
        harness::http_call(engine->admin_address, "/admin/turn-cold", "{}");
    }
    const auto& records = traffic->finish();
    EXPECT_EQ(check_invariants(cluster, records), invariants())
        << load::describe(records);
}

TEST(cold_upstream, of_a_returning_zone_gets_no_more_than_it_bears)
{
    auto cluster = harness::cluster(fault_plan({.nodes = 6}));
    ASSERT_TRUE(cluster.wait_until_serving(chat_request(4)));
    const auto traffic = traffic_of(cluster, 60.0, 7);
    harness::let_pass(core::milliseconds(1000));
    for (auto& upstream : cluster.upstreams()) {
        if (upstream.zone == "fault-a") {
            upstream.program->kill();
        }
    }
    harness::let_pass(core::milliseconds(1500));
    for (auto& upstream : cluster.upstreams()) {
        if (upstream.zone == "fault-a") {
            cluster.restart_upstream(upstream);
        }
    }
    const auto& records = traffic->finish();
    EXPECT_EQ(check_invariants(cluster, records), invariants())
        << load::describe(records);
}

} // namespace almondtiller::fault
