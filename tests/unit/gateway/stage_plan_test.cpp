#include "services/gateway/stage_plan.h"

#include <gtest/gtest.h>

#include <map>

namespace almondtiller::gateway {
namespace {

/// Two stages without inputs; a chain of two more stages follows the second.
class stage_plan_test : public testing::Test
{
protected:
    stage_plan_test()
    {
        const auto stage = [](const char* service, auto after,
                              std::uint64_t bytes) {
            return serving::stage{serving::service_name(service), after, bytes};
        };
        using indices = std::vector<std::size_t>;
        this->route.stages = {
            stage("feed", indices{}, 3000000), stage("feed", indices{}, 8000),
            stage("map", indices{1}, 60000), stage("auth", indices{2}, 6000)};
        this->request.id = core::request_id("r");
        this->request.piece_key = "key";
        this->request.pieces = {2, 1, 3, 1};
        for (const auto* name : {"feed", "map", "auth"}) {
            auto service = serving::service();
            service.stages = serving::stage_pool();
            this->config.services[serving::service_name(name)] = service;
        }
    }

    auto plan() -> stage_plan
    {
        return {this->route,
                this->request,
                this->config,
                this->due,
                this->due + std::chrono::seconds(4),
                1,
                core::zone_name("z"),
                [this](const auto& handle) {
                    const auto found = this->zones.find(handle);
                    return found == this->zones.end() ? core::zone_name()
                                                      : found->second;
                }};
    }

    serving::route route;
    serving::caller_request request;
    serving::configuration config;
    core::time_point due{std::chrono::hours(1)};
    std::map<std::string, core::zone_name> zones;
};

} // namespace

TEST_F(stage_plan_test, runs_stages_after_those_whose_results_they_take)
{
    auto plan = this->plan();
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{1}));
    EXPECT_TRUE(plan.start_ready().empty());
    EXPECT_EQ(plan.work_of(0).items[0].key, "key");
    EXPECT_TRUE(plan.on_done(1, {"h1"}).empty());
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{2}));
    const auto work = plan.work_of(2);
    ASSERT_EQ(work.items.size(), 3U);
    EXPECT_EQ(work.items[0].inputs, (std::vector<std::string>{"h1"}));
    EXPECT_TRUE(work.items[0].key.empty());
}

TEST_F(stage_plan_test, earlier_stages_are_due_earlier)
{
    const auto plan = this->plan();
    EXPECT_EQ(plan.work_of(0).due, this->due);
    EXPECT_LT(plan.work_of(1).due, plan.work_of(2).due);
    EXPECT_LT(plan.work_of(2).due, plan.work_of(3).due);
}

TEST_F(stage_plan_test, releases_results_that_no_stage_needs_any_more)
{
    auto plan = this->plan();
    plan.start_ready();
    plan.on_done(1, {"h1"});
    plan.start_ready();
    const auto released = plan.on_done(2, {"h2", "h3", "h4"});
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].handles, (std::vector<std::string>{"h1"}));
}

TEST_F(stage_plan_test, inputs_of_the_request_are_results_that_no_stage_takes)
{
    auto plan = this->plan();
    plan.start_ready();
    plan.on_done(0, {"a", "b"});
    plan.on_done(1, {"c"});
    plan.start_ready();
    plan.on_done(2, {"d", "e", "f"});
    plan.start_ready();
    EXPECT_FALSE(plan.is_complete());
    plan.on_done(3, {"g"});
    EXPECT_TRUE(plan.is_complete());
    EXPECT_EQ(plan.inputs(), (std::vector<std::string>{"a", "b", "g"}));
    EXPECT_EQ(plan.input_bytes(),
              (std::vector<std::uint64_t>{3000000, 3000000, 6000}));
    EXPECT_EQ(plan.reset().size(), 2U);
    EXPECT_FALSE(plan.is_complete());
}

// Load pattern: a stage runs in parallel to a chain of stages, and its large
// results would wait for the end of the chain.
TEST_F(stage_plan_test, a_stage_starts_when_its_results_will_be_needed)
{
    auto plan = this->plan();
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{1}));
    plan.on_done(1, {"h1"});
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{2}));
    plan.on_done(2, {"h2", "h3", "h4"});
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{0, 3}));
}

TEST_F(stage_plan_test, stages_of_the_same_length_start_together)
{
    this->request.pieces = {2, 1, 0, 0};
    auto plan = this->plan();
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{0, 1}));
}

// Load pattern: each piece of a later stage fetches all results of the stage
// before it, which caused most of the bytes transferred between zones.
TEST_F(stage_plan_test, counts_the_bytes_that_would_cross_zones)
{
    const auto plan = this->plan();
    EXPECT_EQ(plan.work_of(0).transfer_bytes, 2U * 3000000U);
    EXPECT_EQ(plan.work_of(1).transfer_bytes, 3U * 8000U);
    EXPECT_EQ(plan.work_of(2).transfer_bytes, 3U * (8000U + 60000U));
    EXPECT_EQ(plan.work_of(3).transfer_bytes, 3U * 60000U + 6000U);
}

// Load pattern: a zone with too few upstreams for a stage has it run in another
// zone, from which each piece of the next stage fetches all of the results.
TEST_F(stage_plan_test, a_stage_runs_where_most_of_its_inputs_are)
{
    this->request.pieces = {0, 1, 3, 8};
    auto plan = this->plan();
    plan.start_ready();
    this->zones["h1"] = core::zone_name("y");
    plan.on_done(1, {"h1"});
    EXPECT_EQ(plan.work_of(2).zone, core::zone_name("z"))
        << "3 x 8 kB don't justify leaving the request's zone";
    plan.start_ready();
    for (const auto* handle : {"h2", "h3"}) {
        this->zones[handle] = core::zone_name("y");
    }
    this->zones["h4"] = core::zone_name("z");
    plan.on_done(2, {"h2", "h3", "h4"});
    EXPECT_EQ(plan.work_of(3).zone, core::zone_name("y"));
    this->zones.clear();
    EXPECT_EQ(plan.work_of(3).zone, core::zone_name("z"));
}

TEST_F(stage_plan_test, skips_stages_without_pieces)
{
    this->request.pieces = {0, 1, 3, 1};
    auto plan = this->plan();
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{1}));
    this->request.pieces = {};
    EXPECT_TRUE(this->plan().is_complete());
}

// Guards against pieces of a stage whose predecessors are all omitted that have
// neither the caller's key nor inputs.
TEST_F(stage_plan_test, each_piece_has_the_callers_key_or_inputs)
{
    using counts = std::vector<std::uint32_t>;
    for (const auto& pieces :
         {counts{0, 0, 3, 1}, counts{2, 0, 3, 1}, counts{2, 0, 0, 1},
          counts{0, 1, 0, 2}, counts{0, 1, 3, 0}, counts{0, 0, 0, 2}}) {
        this->request.pieces = pieces;
        auto plan = this->plan();
        while (!plan.is_complete()) {
            const auto ready = plan.start_ready();
            ASSERT_FALSE(ready.empty());
            for (const auto stage : ready) {
                const auto work = plan.work_of(stage);
                ASSERT_EQ(work.items.size(), pieces[stage]);
                const auto has_predecessor = stage > 1 && pieces[stage - 1] > 0;
                for (const auto& item : work.items) {
                    EXPECT_EQ(item.key, has_predecessor ? "" : "key");
                    EXPECT_EQ(item.inputs.size(),
                              has_predecessor ? pieces[stage - 1] : 0);
                }
                plan.on_done(stage, std::vector<std::string>(
                                        pieces[stage], std::to_string(stage)));
            }
        }
    }
}

// Guards against results of a stage that are used by nobody because the stage
// that takes them is omitted.
TEST_F(stage_plan_test, results_for_an_omitted_stage_are_inputs_of_the_request)
{
    this->request.pieces = {0, 1, 0, 2};
    auto plan = this->plan();
    EXPECT_EQ(plan.start_ready(), (std::vector<std::size_t>{1, 3}));
    plan.on_done(1, {"a"});
    plan.on_done(3, {"b", "c"});
    EXPECT_EQ(plan.inputs(), (std::vector<std::string>{"a", "b", "c"}));
}

} // namespace almondtiller::gateway
