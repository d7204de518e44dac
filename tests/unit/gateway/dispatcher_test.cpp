#include "services/gateway/dispatcher.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <set>

namespace almondtiller::gateway {
namespace {

class dispatcher_test : public testing::Test
{
protected:
    dispatcher_test() : sink(open("/dev/null", O_WRONLY | O_CLOEXEC))
    {
        this->config->version = 1;
        auto service = serving::service();
        service.name = serving::service_name("desk");
        this->config->services[service.name] = service;
        this->state.apply(this->config);
        for (const auto* name : {"a", "b"}) {
            this->state.update(upstream(name), 1, this->loop.now());
        }
        this->state.set_limit(core::upstream_id("a"),
                              {100.0, this->loop.now()});
        this->local.set_owner_check(
            [this](const auto&) { return this->is_owner; });
    }
    ~dispatcher_test() override
    {
        close(this->sink);
    }

    static auto upstream(const char* name) -> serving::upstream
    {
        auto made = serving::upstream();
        made.id = core::upstream_id(name);
        made.service = serving::service_name("desk");
        made.zone = core::zone_name("z");
        made.slots = 8;
        return made;
    }

    auto make_message(int number) -> place_message
    {
        auto message = place_message();
        message.service = serving::service_name("desk");
        message.request.request = core::request_id(std::to_string(number));
        message.request.due = this->loop.now() + core::milliseconds(300);
        message.request.deadline = this->loop.now() + core::milliseconds(3000);
        return message;
    }

    auto place(int number) -> dispatch::placement_outcome
    {
        auto outcome = std::optional<dispatch::placement_outcome>();
        this->local.submit_placement(
            this->make_message(number), core::node_id("n"),
            [&outcome](const auto& placed) { outcome = placed; });
        while (!outcome) {
            this->loop.run_once();
        }
        return *outcome;
    }

    core::runtime_clock clock;
    event::loop loop{clock};
    int sink;
    event_log log{loop, clock, sink, "n"};
    core::metrics_registry registry;
    flow_metrics metrics{registry};
    std::shared_ptr<serving::configuration> config =
        std::make_shared<serving::configuration>();
    dispatch::serving_state state;
    http1::client_pool pool{loop};
    dispatcher local{loop, state, pool, log, metrics, {}, {}};
    bool is_owner = true;
};

// Several nodes stand in for an owner that they cannot reach. Each of them
// would send at the full rate of an upstream's limit.
TEST_F(dispatcher_test, only_the_owner_sends_to_upstreams_that_state_a_limit)
{
    this->is_owner = false;
    for (auto number = 0; number < 6; ++number) {
        EXPECT_EQ(this->place(number).upstream.id, core::upstream_id("b"));
    }
    this->is_owner = true;
    this->local.refresh();
    const auto outcome = this->place(7);
    EXPECT_EQ(outcome.upstream.id, core::upstream_id("a"));
    EXPECT_EQ(outcome.request_limit, 100.0);
}

// The same holds for the rate that a cold upstream bears.
TEST_F(dispatcher_test, only_the_owner_sends_to_cold_upstreams)
{
    this->config->services.begin()->second.cold_rate = 9.7;
    auto cold = upstream("a");
    cold.cold_left = core::milliseconds(5000);
    this->state.update(cold, 2, this->loop.now());
    this->state.end_limit(cold.id, this->loop.now());
    this->is_owner = false;
    for (auto number = 0; number < 6; ++number) {
        EXPECT_EQ(this->place(number).upstream.id, core::upstream_id("b"));
    }
    this->is_owner = true;
    this->local.refresh();
    auto placed = std::set<core::upstream_id>();
    for (auto number = 6; number < 12; ++number) {
        placed.insert(this->place(number).upstream.id);
    }
    EXPECT_TRUE(placed.contains(core::upstream_id("a")));
}

// A node announces its attempts to a new owner, also one that it has just asked
// for another upstream for the same request.
TEST_F(dispatcher_test, an_announced_attempt_does_not_end_a_pending_placement)
{
    auto outcome = std::optional<dispatch::placement_outcome>();
    auto retry = this->make_message(1);
    retry.request.is_retry = true;
    this->local.submit_placement(
        retry, core::node_id("n"),
        [&outcome](const auto& placed) { outcome = placed; });
    auto announced = this->make_message(1);
    announced.placed_at = core::upstream_id("a");
    this->local.submit_placement(announced, core::node_id("n"),
                                 [](const auto&) {});
    const auto end = this->loop.now() + std::chrono::seconds(3);
    while (!outcome && this->loop.now() < end) {
        this->loop.run_once();
    }
    EXPECT_TRUE(outcome);
}

TEST_F(dispatcher_test, a_stand_in_rejects_at_once_if_all_upstreams_are_limited)
{
    this->state.set_limit(core::upstream_id("b"), {100.0, this->loop.now()});
    this->is_owner = false;
    const auto begin = this->loop.now();
    EXPECT_EQ(this->place(1).status, dispatch::placement_status::rejected);
    EXPECT_LT(this->loop.now() - begin, core::milliseconds(100));
}

} // namespace
} // namespace almondtiller::gateway
