#include "fixture/fixture.h"

#include <gtest/gtest.h>

#include <csignal>

namespace almondtiller::fault {

namespace {

constexpr auto enough_attainment = 0.95;

class broken_upstream : public testing::Test
{
protected:
    broken_upstream() : cluster(fault_plan({}))
    {
        EXPECT_TRUE(this->cluster.wait_until_serving(chat_request(4)));
        EXPECT_TRUE(this->cluster.wait_until_serving(confirm_request("first")));
    }

    auto start(std::vector<load::traffic_class> classes, double rate = 40.0)
        -> std::unique_ptr<load::traffic>
    {
        auto plan = load::traffic_plan();
        plan.classes = std::move(classes);
        plan.rate = rate;
        plan.length = std::chrono::seconds(4);
        plan.workers = 48;
        return start_traffic(this->cluster, plan);
    }

    auto expect_sound(const std::vector<load::traffic_record>& records) -> void
    {
        EXPECT_EQ(check_invariants(this->cluster, records), invariants());
        EXPECT_EQ(load::count(records, harness::call_outcome::incomplete), 0U);
    }

    harness::cluster cluster;
};

auto chats(std::uint32_t tokens) -> std::vector<load::traffic_class>
{
    return {{"chat", chat_request(tokens), true, 1.0}};
}

auto lookups() -> std::vector<load::traffic_class>
{
    return {{"lookup", lookup_request(), true, 1.0}};
}

} // namespace

TEST_F(broken_upstream, that_is_killed_loses_no_stream)
{
    auto traffic = this->start(chats(60), 20.0);
    harness::let_pass(core::milliseconds(1500));
    this->cluster.pool("engines").front()->program->kill();
    const auto& records = traffic->finish();
    this->expect_sound(records);
    EXPECT_GE(load::attainment(records), enough_attainment)
        << load::describe(records);
}

TEST_F(broken_upstream, that_cuts_streams_leaves_no_gap_and_no_repeat)
{
    set_pool_fault(this->cluster, "engines",
                   R"({"mode":"cut","probability":0.02})");
    const auto traffic = this->start(chats(40), 20.0);
    const auto& records = traffic->finish();
    this->expect_sound(records);
    EXPECT_GE(load::attainment(records), enough_attainment)
        << load::describe(records);
}

TEST_F(broken_upstream, that_repeats_tokens_is_not_believed)
{
    set_pool_fault(this->cluster, "engines",
                   R"({"mode":"repeat_tokens","probability":0.01})");
    this->expect_sound(this->start(chats(40), 20.0)->finish());
}

TEST_F(broken_upstream, that_answers_others_requests_is_not_believed)
{
    set_pool_fault(this->cluster, "lookups",
                   R"({"mode":"mismatch","probability":0.1})");
    const auto traffic = this->start(lookups(), 100.0);
    const auto& records = traffic->finish();
    this->expect_sound(records);
    EXPECT_GE(load::attainment(records), enough_attainment)
        << load::describe(records);
}

TEST_F(broken_upstream, that_fails_is_tried_elsewhere)
{
    harness::http_call(this->cluster.pool("lookups").front()->admin_address,
                       "/admin/fault", R"({"mode":"fail"})");
    const auto traffic = this->start(lookups(), 100.0);
    const auto& records = traffic->finish();
    this->expect_sound(records);
    EXPECT_GE(load::attainment(records), enough_attainment)
        << load::describe(records);
}

TEST_F(broken_upstream, that_cuts_answers_runs_no_confirmation_twice)
{
    set_pool_fault(this->cluster, "desk",
                   R"({"mode":"cut","probability":0.3})");
    const auto traffic =
        this->start({{"confirm", confirm_request("key"), false, 1.0}});
    const auto& records = traffic->finish();
    this->expect_sound(records);
    EXPECT_GT(load::count(records, harness::call_outcome::complete), 0U)
        << load::describe(records);
}

} // namespace almondtiller::fault
