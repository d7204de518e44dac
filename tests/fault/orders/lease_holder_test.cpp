#include "fixture/fixture.h"
#include "harness/declare.h"
#include "harness/http_call.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

namespace almondtiller::fault {

namespace {

using nlohmann::json;

/// Longer than a lease, the wait of its next holder and two load rounds.
constexpr auto takeover_bound = core::milliseconds(45000);

struct order_counts
{
    std::uint64_t executed = 0;
    std::uint64_t executed_stale = 0; ///< After one of a newer holder.
};

auto models_plan(bool checks_fencing) -> harness::cluster_plan
{
    auto plan = harness::cluster_plan();
    plan.region = "fault";
    plan.zones = {"fault-a", "fault-b", "fault-c"};
    plan.nodes = 3;
    plan.declarations = "tests/fault/declarations_models/before";
    auto flags =
        std::vector<std::string>{"--load-ms", "200", "--report-lag-ms", "100"};
    if (checks_fencing) {
        flags.emplace_back("--check-fencing");
    }
    plan.pools = {{"engines", 3, "fake_engine", flags, false}};
    return plan;
}

auto has_model(const harness::upstream_process& engine,
               const std::string& model) -> bool
{
    const auto answer = harness::http_call(engine.admin_address, "/v1/load");
    const auto report = json::parse(answer.body, nullptr, false);
    return report.is_object() &&
           report.value("models", json::array()) == json::array({model});
}

auto is_holder(const harness::node_process& node) -> bool
{
    const auto answer = harness::http_call(node.address, "/metrics");
    return answer.body.find("\nalmondtiller_lease_held 1\n") !=
           std::string::npos;
}

auto count_orders(const std::vector<std::string>& journals) -> order_counts
{
    auto counts = order_counts();
    for (const auto& path : journals) {
        auto file = std::ifstream(path);
        auto newest = std::uint64_t(0);
        for (auto line = std::string(); std::getline(file, line);) {
            const auto entry = json::parse(line, nullptr, false);
            if (!entry.is_object() || entry.value("event", "") != "order") {
                continue;
            }
            const auto fencing = entry.at("fencing").get<std::uint64_t>();
            ++counts.executed;
            counts.executed_stale += fencing < newest ? 1U : 0U;
            newest = std::max(newest, fencing);
        }
    }
    return counts;
}

class lease_holder : public testing::TestWithParam<bool>
{
protected:
    lease_holder() : cluster(models_plan(GetParam()))
    {}

    auto all_have(const std::string& model) -> bool
    {
        return harness::eventually(
            [&] {
                return std::ranges::all_of(this->cluster.upstreams(),
                                           [&](const auto& engine) {
                                               return has_model(engine, model);
                                           });
            },
            takeover_bound);
    }

    auto find_holder() -> harness::node_process*
    {
        for (auto& node : this->cluster.nodes()) {
            if (is_holder(node)) {
                return &node;
            }
        }
        return nullptr;
    }

    harness::cluster cluster;
};

} // namespace

TEST_P(lease_holder, paused_past_expiry_executes_no_conflicting_order)
{
    ASSERT_TRUE(this->all_have("planner@1"));
    auto* first = this->find_holder();
    ASSERT_NE(first, nullptr);
    first->program->signal(SIGSTOP);
    ASSERT_TRUE(harness::declare_settings(
        this->cluster.platform_address(),
        harness::source_folder() + "/tests/fault/declarations_models/after"));
    EXPECT_TRUE(this->all_have("planner@2"));
    first->program->signal(SIGCONT);
    EXPECT_TRUE(harness::eventually([&] { return !is_holder(*first); }));
    harness::let_pass(core::milliseconds(2000));
    EXPECT_TRUE(this->all_have("planner@2"));
    const auto counts = count_orders(this->cluster.journals("engines"));
    EXPECT_GE(counts.executed, 6U);
    EXPECT_EQ(counts.executed_stale, 0U);
}

INSTANTIATE_TEST_SUITE_P(engines, lease_holder, testing::Bool(),
                         [](const auto& each) {
                             return each.param ? "that_check_fencing"
                                               : "that_ignore_fencing";
                         });

} // namespace almondtiller::fault
