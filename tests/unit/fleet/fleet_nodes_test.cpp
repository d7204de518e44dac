#include "shared_store.h"

#include "fleet/config_head.h"
#include "fleet/config_publisher.h"
#include "fleet/config_source.h"
#include "kernel/kernel.h"
#include "services/config/config_service.h"
#include "services/directory/directory_service.h"
#include "services/http/http_service.h"
#include "services/node/node_service.h"
#include "services/peers/peers_service.h"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <thread>

namespace almondtiller::fleet {
namespace {

using namespace std::chrono_literals;
using services::admission;

constexpr auto zones = std::array{"a", "b", "c"};

/// A node without the request path.
class test_node
{
public:
    test_node(shared_objects& objects, int number)
    {
        auto identity = member();
        identity.id = core::node_id("n" + std::to_string(number));
        identity.zone = core::zone_name(zones[std::size_t(number % 3)]);
        auto platform = std::make_unique<shared_store>(objects);
        this->store = platform.get();
        auto http = services::http_options{"127.0.0.1", 0, 1024, 2};
        this->kernel.add(std::make_unique<services::http_service>(http));
        this->kernel.add(
            std::make_unique<services::node_service>(identity, "127.0.0.1"));
        this->kernel.add(std::move(platform));
        auto peers = std::make_unique<services::peers_service>();
        this->peers = peers.get();
        this->kernel.add(std::move(peers));
        this->kernel.add(std::make_unique<services::config_service>());
        this->kernel.add(std::make_unique<services::directory_service>());
        EXPECT_FALSE(this->kernel.start());
        this->node = this->kernel.find<services::node_service>(
            services::node_service_name);
        this->config = this->kernel.find<config_source>(config_service_name);
        this->config->on_change([this](const auto& snapshot) {
            if (snapshot->revision <= this->highest) {
                ++this->reverts;
            }
            this->highest = snapshot->revision;
        });
    }

    ~test_node()
    {
        this->kernel.shutdown();
    }

    test_node(const test_node&) = delete;
    auto operator=(const test_node&) -> test_node& = delete;

    kernel::service_kernel kernel;
    shared_store* store = nullptr;
    services::peers_service* peers = nullptr;
    services::node_service* node = nullptr;
    config_source* config = nullptr;
    std::atomic<std::uint64_t> highest = 0;
    std::atomic<int> reverts = 0;
};

class fleet_nodes_test : public testing::Test
{
protected:
    auto add_node() -> test_node&
    {
        const auto number = int(this->nodes.size());
        this->nodes.push_back(
            std::make_unique<test_node>(this->objects, number));
        auto listed = platform::instance();
        const auto self = this->nodes.back()->peers->self();
        listed.id = self.id.str();
        listed.role = platform::instance_role::node;
        listed.zone = self.zone;
        listed.address = self.address;
        listed.peer_address = self.peer_address;
        const auto guard = std::lock_guard(this->objects.mutex);
        this->objects.instances.push_back(listed);
        return *this->nodes.back();
    }

    auto wait_for(const std::function<bool()>& ready,
                  core::milliseconds limit = 15s) -> bool
    {
        auto mutex = std::mutex();
        auto condition = std::condition_variable();
        const auto deadline = this->clock.now() + limit;
        while (!ready() && this->clock.now() < deadline) {
            auto lock = std::unique_lock(mutex);
            this->clock.wait_until(lock, condition, this->clock.now() + 10ms,
                                   [] { return false; });
        }
        return ready();
    }

    auto all(const std::function<bool(test_node&)>& holds) -> bool
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [&](auto& node) { return holds(*node); });
    }

    auto start_fleet(int size) -> void
    {
        for (auto number = 0; number < size; ++number) {
            this->add_node();
        }
        const auto tree = settings::declaration_tree::parse(
            R"({"zones":{"a":{},"b":{},"c":{}}})");
        ASSERT_EQ(
            this->publisher.publish(tree.value(), {"op", "first"}, 0).state,
            change_state::applied);
        ASSERT_TRUE(this->wait_for([&] {
            return this->all([&](auto& node) {
                return node.node->admission_state() == admission::open &&
                       node.peers->members().size() == std::size_t(size);
            });
        }));
    }

    core::runtime_clock clock;
    shared_objects objects;
    shared_store operator_store{objects};
    config_publisher publisher{operator_store, clock, 9};
    std::vector<std::unique_ptr<test_node>> nodes;
};

TEST_F(fleet_nodes_test, zone_change_is_in_force_everywhere)
{
    this->start_fleet(6);
    const auto zone = core::zone_name("b");
    const auto begin = this->clock.now();
    this->publisher.set_zone_state(zone, settings::zone_state::out,
                                   {"op", "zone out b"});
    ASSERT_TRUE(this->wait_for([&] {
        return this->all([&](auto& node) {
            return !node.config->current()->is_zone_in(zone);
        });
    }));
    EXPECT_LT(this->clock.now() - begin, 3s);
}

TEST_F(fleet_nodes_test, racing_operators_with_lost_answers)
{
    constexpr auto operators = 4;
    constexpr auto changes_each = 50;
    this->start_fleet(6);
    auto writes = std::uint64_t(0);
    {
        const auto guard = std::lock_guard(this->objects.mutex);
        this->objects.store.head_write_behavior = [&writes] {
            return ++writes % 5 == 0 ? write_behavior::answer_lost
                   : writes % 7 == 0 ? write_behavior::unavailable
                                     : write_behavior::answered;
        };
    }
    auto history = std::map<std::string, std::uint64_t>();
    {
        const auto guard = std::lock_guard(this->objects.mutex);
        this->objects.store.on_write = [&history](const auto& written) {
            if (written.key.kind != config_kind) {
                return;
            }
            const auto head = decode_head(written.value).value();
            for (const auto& change : head.changes) {
                history[change.id] = change.revision;
            }
        };
    }
    auto outcomes = std::vector<std::vector<change_outcome>>(operators);
    auto threads = std::vector<std::thread>();
    for (auto number = 0; number < operators; ++number) {
        threads.emplace_back([&, number] {
            auto own_publisher = config_publisher(
                this->operator_store, this->clock, std::uint64_t(100 + number));
            for (auto change = 0; change < changes_each; ++change) {
                const auto state = change % 2 == 0 ? settings::zone_state::out
                                                   : settings::zone_state::in;
                outcomes[std::size_t(number)].push_back(
                    own_publisher.set_zone_state(
                        core::zone_name(zones[std::size_t(change % 3)]), state,
                        {"op" + std::to_string(number), "zone"}));
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto last = this->publisher.current().value();
    {
        const auto guard = std::lock_guard(this->objects.mutex);
        this->objects.store.on_write = [](const auto&) {
        };
    }
    auto applied = std::uint64_t(0);
    for (const auto& list : outcomes) {
        for (const auto& outcome : list) {
            EXPECT_NE(outcome.state, change_state::unknown);
            applied += outcome.state == change_state::applied ? 1 : 0;
            EXPECT_EQ(history.contains(outcome.id),
                      outcome.state == change_state::applied);
        }
    }
    EXPECT_EQ(last.revision, applied + 1);
    ASSERT_TRUE(this->wait_for([&] {
        return this->all([&](auto& node) {
            return node.config->current()->revision == last.revision;
        });
    }));
    for (const auto& node : this->nodes) {
        EXPECT_EQ(node->reverts, 0);
    }
}

TEST_F(fleet_nodes_test, node_started_in_an_outage_serves_from_peers)
{
    this->start_fleet(4);
    const auto revision = this->publisher.current().value().revision;
    // The new node has the list of nodes from before the outage.
    const auto contacts = this->nodes[0]->peers->members();
    this->objects.is_down = true;
    this->objects.changed.notify_all();
    auto& new_node = this->add_node();
    new_node.peers->set_contacts(contacts);
    ASSERT_TRUE(this->wait_for(
        [&] { return new_node.node->admission_state() == admission::open; }));
    EXPECT_EQ(new_node.config->current()->revision, revision);
    EXPECT_TRUE(this->all([](auto& node) {
        return node.node->admission_state() == admission::open;
    }));
}

TEST_F(fleet_nodes_test, isolated_node_accepts_no_new_requests)
{
    this->start_fleet(2);
    auto& remaining_node = *this->nodes[0];
    this->objects.is_down = true;
    this->objects.changed.notify_all();
    this->nodes.pop_back();
    EXPECT_TRUE(this->wait_for([&] {
        return remaining_node.node->admission_state() == admission::isolated;
    }));
    this->objects.is_down = false;
    EXPECT_TRUE(this->wait_for([&] {
        return remaining_node.node->admission_state() == admission::open;
    }));
}

TEST_F(fleet_nodes_test, leaving_reaches_all_nodes_within_a_second)
{
    this->start_fleet(3);
    this->nodes[2]->peers->announce_leaving();
    EXPECT_TRUE(this->wait_for(
        [&] {
            return this->all([&](auto& node) {
                const auto members = node.peers->members();
                return std::any_of(
                    members.begin(), members.end(), [](const auto& member) {
                        return member.state == member_state::leaving;
                    });
            });
        },
        1s));
}

} // namespace
} // namespace almondtiller::fleet
