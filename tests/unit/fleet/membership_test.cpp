#include "fleet/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace almondtiller::fleet {
namespace {

auto make_member(int number) -> member
{
    auto made = member();
    made.id = core::node_id("n" + std::to_string(number));
    made.incarnation = 1;
    made.zone = core::zone_name("z" + std::to_string(number % 3));
    made.address = "127.0.0.1:" + std::to_string(number);
    made.peer_address = made.address;
    return made;
}

/// Nodes on a simulated network in which each ping is answered at once or lost.
class network
{
public:
    explicit network(int size, std::uint64_t seed = 7)
    {
        auto contacts = std::vector<member>();
        for (auto number = 0; number < size; ++number) {
            contacts.push_back(make_member(number));
        }
        for (const auto& self : contacts) {
            this->nodes[self.id] = std::make_unique<membership>(
                self, this->options, seed + this->nodes.size());
            this->nodes[self.id]->set_contacts(contacts);
        }
    }

    auto run(int rounds) -> void
    {
        for (auto round = 0; round < rounds; ++round) {
            this->now += this->options.interval;
            for (auto& [id, node] : this->nodes) {
                if (!this->paused.contains(id)) {
                    this->deliver(id, node->tick(this->now));
                }
            }
        }
    }

    auto deliver(const core::node_id& from,
                 const std::vector<probe_request>& requests) -> void
    {
        auto& node = *this->nodes[from];
        for (const auto& request : requests) {
            const auto& prober = request.relay ? request.relay->id : from;
            const auto reached =
                !request.relay || this->can_exchange(from, request.relay->id);
            const auto answered =
                reached && this->ping(prober, request.target.id);
            this->deliver(from,
                          node.on_probe_result(request, answered, this->now));
        }
    }

    auto ping(const core::node_id& from, const core::node_id& target) -> bool
    {
        const auto message = this->nodes[from]->make_ping(target);
        const auto arrived = this->can_send(from, target);
        if (!arrived) {
            return false;
        }
        const auto ack = this->nodes[target]->on_ping(message, this->now);
        if (!this->can_send(target, from)) {
            return false;
        }
        this->nodes[from]->on_ack(ack, this->now);
        return true;
    }

    auto can_send(const core::node_id& from, const core::node_id& target)
        -> bool
    {
        return !this->paused.contains(from) && !this->paused.contains(target) &&
               !this->cut.contains({from, target});
    }

    auto can_exchange(const core::node_id& left, const core::node_id& right)
        -> bool
    {
        return this->can_send(left, right) && this->can_send(right, left);
    }

    auto state_at(int observer, int subject) -> member_state
    {
        const auto* found = this->nodes[make_member(observer).id]->table().find(
            make_member(subject).id);
        return found == nullptr ? member_state::dead : found->state;
    }

    auto is_converged() -> bool
    {
        const auto expected = this->nodes.size() - this->paused.size();
        auto hashes = std::set<std::uint64_t>();
        for (const auto& [id, node] : this->nodes) {
            if (this->paused.contains(id)) {
                continue;
            }
            hashes.insert(node->table().hash());
            if (node->table().members().size() != expected) {
                return false;
            }
        }
        return hashes.size() == 1;
    }

    membership_options options;
    core::time_point now = core::time_point() + std::chrono::hours(1);
    std::map<core::node_id, std::unique_ptr<membership>> nodes;
    std::set<core::node_id> paused;
    std::set<std::pair<core::node_id, core::node_id>> cut;
};

TEST(membership_test, nodes_discover_each_other)
{
    auto fleet = network(12);
    fleet.run(20);
    EXPECT_TRUE(fleet.is_converged());
}

TEST(membership_test, silent_node_is_suspected_before_it_is_dead)
{
    auto fleet = network(6);
    fleet.run(20);
    fleet.paused.insert(make_member(5).id);
    fleet.run(3);
    EXPECT_NE(fleet.state_at(0, 5), member_state::dead);
    fleet.run(30);
    EXPECT_EQ(fleet.state_at(0, 5), member_state::dead);
}

TEST(membership_test, resumed_node_comes_back_with_a_higher_incarnation)
{
    auto fleet = network(6);
    fleet.run(20);
    fleet.paused.insert(make_member(5).id);
    fleet.run(40);
    ASSERT_EQ(fleet.state_at(0, 5), member_state::dead);
    fleet.paused.clear();
    fleet.run(40);
    EXPECT_TRUE(fleet.is_converged());
    const auto* back =
        fleet.nodes[make_member(0).id]->table().find(make_member(5).id);
    EXPECT_GT(back->incarnation, 1U);
}

TEST(membership_test, one_way_loss_does_not_change_the_list)
{
    auto fleet = network(6);
    fleet.run(20);
    fleet.cut.insert({make_member(0).id, make_member(3).id});
    for (auto round = 0; round < 60; ++round) {
        fleet.run(1);
        for (auto observer = 0; observer < 6; ++observer) {
            ASSERT_EQ(fleet.state_at(observer, 3), member_state::alive);
            ASSERT_EQ(fleet.state_at(observer, 0), member_state::alive);
        }
    }
}

TEST(membership_test, resumed_observer_does_not_declare_others_dead)
{
    auto fleet = network(6);
    fleet.run(20);
    fleet.paused.insert(make_member(0).id);
    fleet.now += std::chrono::seconds(2);
    fleet.paused.clear();
    fleet.now += std::chrono::seconds(60);
    fleet.run(1);
    for (auto subject = 1; subject < 6; ++subject) {
        EXPECT_EQ(fleet.state_at(0, subject), member_state::alive);
    }
}

TEST(membership_test, partition_heals)
{
    auto fleet = network(9);
    fleet.run(20);
    for (const auto& [left, unused] : fleet.nodes) {
        for (const auto& [right, also_unused] : fleet.nodes) {
            const auto is_left = left < make_member(5).id;
            if (is_left != (right < make_member(5).id)) {
                fleet.cut.insert({left, right});
            }
        }
    }
    fleet.run(60);
    EXPECT_EQ(fleet.state_at(0, 8), member_state::dead);
    fleet.cut.clear();
    fleet.run(120);
    EXPECT_TRUE(fleet.is_converged());
}

TEST(membership_test, leaving_state_spreads_and_persists)
{
    auto fleet = network(6);
    fleet.run(20);
    fleet.nodes[make_member(2).id]->leave();
    fleet.run(10);
    for (auto observer = 0; observer < 6; ++observer) {
        EXPECT_EQ(fleet.state_at(observer, 2), member_state::leaving);
    }
    fleet.run(40);
    EXPECT_EQ(fleet.state_at(0, 2), member_state::leaving);
}

/// Results of indirect pings that arrive after the start of the next round
/// must still count; a new probe of the member would discard them.
TEST(membership_test, slow_results_still_lead_to_suspicion)
{
    auto node = membership(make_member(0), {}, 1);
    auto now = core::time_point() + std::chrono::hours(1);
    auto others = gossip_message();
    others.updates = {make_member(3), make_member(1)};
    node.on_ack(others, now);
    const auto is_suspect = [&node] {
        return node.table().find(make_member(3).id)->state ==
               member_state::suspect;
    };
    auto late = std::vector<probe_request>();
    for (auto round = 0; round < 3 && !is_suspect(); ++round) {
        now += std::chrono::milliseconds(500);
        const auto requests = node.tick(now);
        for (const auto& request : std::exchange(late, {})) {
            node.on_probe_result(request, false, now);
        }
        for (const auto& request : requests) {
            const auto answered = request.target.id != make_member(3).id;
            const auto more = node.on_probe_result(request, answered, now);
            late.insert(late.end(), more.begin(), more.end());
        }
    }
    EXPECT_TRUE(is_suspect());
}

TEST(membership_test, messages_are_bounded_at_420_nodes)
{
    auto self = make_member(0);
    auto node = membership(self, {}, 1);
    const auto now = core::time_point();
    auto everybody = gossip_message();
    for (auto number = 1; number < 420; ++number) {
        everybody.updates.push_back(make_member(number));
    }
    node.on_ack(everybody, now);
    EXPECT_EQ(node.table().members().size(), 420U);
    EXPECT_LE(node.make_ping(make_member(1).id).updates.size(), 10U);
    EXPECT_LE(node.on_ping({}, now).updates.size(), 16U);
}

/// Tables that merge the same records in any order are equal, never replace a
/// record by a smaller one, and keep the state leaving within an incarnation.
RC_GTEST_PROP(member_table_properties, order_does_not_matter,
              (std::vector<std::pair<std::uint8_t, std::uint8_t>> seen))
{
    auto forward = member_table(make_member(0));
    auto backward = member_table(make_member(0));
    const auto record = [](const auto& entry) {
        auto made = make_member(1 + entry.first % 3);
        made.incarnation = entry.second / 4;
        made.state = member_state(entry.second % 4);
        return made;
    };
    for (const auto& entry : seen) {
        const auto made = record(entry);
        const auto* before = forward.find(made.id);
        const auto old = before == nullptr ? member() : *before;
        forward.merge(made);
        const auto after = *forward.find(made.id);
        RC_ASSERT(std::pair(after.incarnation, after.state) >=
                  std::pair(old.incarnation, old.state));
    }
    for (auto entry = seen.rbegin(); entry != seen.rend(); ++entry) {
        backward.merge(record(*entry));
    }
    RC_ASSERT(forward.records() == backward.records());
    RC_ASSERT(forward.hash() == backward.hash());
}

RC_GTEST_PROP(gossip_message_properties, decoder_takes_any_bytes,
              (const std::string& bytes))
{
    static_cast<void>(decode_gossip(bytes));
    static_cast<void>(decode_ping_request(bytes));
    auto message = gossip_message();
    message.updates = {make_member(1), make_member(2)};
    RC_ASSERT(decode_gossip(encode_gossip(message)).value() == message);
}

} // namespace
} // namespace almondtiller::fleet
