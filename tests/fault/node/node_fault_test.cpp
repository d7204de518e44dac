#include "fixture/fixture.h"

#include <gtest/gtest.h>

#include <csignal>

namespace almondtiller::fault {

namespace {

using harness::call_outcome;

constexpr auto enough_attainment = 0.95;

class node_fault : public testing::Test
{
protected:
    node_fault() : cluster(fault_plan({}))
    {
        EXPECT_TRUE(this->cluster.wait_until_serving(chat_request(4)));
        EXPECT_TRUE(this->cluster.wait_until_serving(confirm_request("first")));
    }

    auto start(int seconds) -> std::unique_ptr<load::traffic>
    {
        auto plan = load::traffic_plan();
        plan.classes = mixed_classes();
        plan.rate = 50.0;
        plan.length = std::chrono::seconds(seconds);
        return start_traffic(this->cluster, plan);
    }

    harness::cluster cluster;
};

} // namespace

TEST_F(node_fault, killed_runs_no_confirmation_twice)
{
    auto traffic = this->start(5);
    harness::let_pass(core::milliseconds(1500));
    this->cluster.nodes().front().program->kill();
    const auto& records = traffic->finish();
    EXPECT_EQ(check_invariants(this->cluster, records), invariants())
        << load::describe(records);
    EXPECT_GE(load::attainment(records), enough_attainment)
        << load::describe(records);
}

TEST_F(node_fault, paused_runs_no_confirmation_twice)
{
    auto traffic = this->start(6);
    harness::let_pass(core::milliseconds(1500));
    auto& paused = *this->cluster.nodes().front().program;
    paused.signal(SIGSTOP);
    harness::let_pass(core::milliseconds(2000));
    paused.signal(SIGCONT);
    const auto& records = traffic->finish();
    EXPECT_EQ(check_invariants(this->cluster, records), invariants())
        << load::describe(records);
}

TEST_F(node_fault, told_to_stop_finishes_its_streams)
{
    auto request = chat_request(300);
    request.marker = "long";
    auto result = harness::call_result();
    auto& node = this->cluster.nodes().front();
    auto thread = std::thread(
        [&] { result = harness::caller(node.address).run(request); });
    EXPECT_TRUE(harness::eventually([this] {
        const auto entries =
            harness::read_journals(this->cluster.journals("engines"));
        return harness::summarize(entries).started >
               harness::summarize(entries).ended;
    }));
    node.program->signal(SIGTERM);
    thread.join();
    EXPECT_EQ(result.outcome, call_outcome::complete) << result.text;
    EXPECT_EQ(node.program->wait_for_exit(), 0);
}

TEST_F(node_fault, replaced_one_by_one_cuts_nothing)
{
    auto traffic = this->start(20);
    for (auto index = 0; index < 3; ++index) {
        auto& old = this->cluster.nodes().front();
        const auto zone = old.zone;
        old.program->signal(SIGTERM);
        EXPECT_EQ(old.program->wait_for_exit(), 0);
        this->cluster.forget_ended_nodes();
        this->cluster.add_node(zone);
        EXPECT_TRUE(this->cluster.wait_until_ready());
    }
    const auto& records = traffic->finish();
    EXPECT_EQ(check_invariants(this->cluster, records), invariants());
    EXPECT_EQ(load::count(records, call_outcome::complete), records.size())
        << load::describe(records);
}

} // namespace almondtiller::fault
