#include "gateway_world/world.h"
#include "services/gateway/event_log.h"
#include "services/gateway/peer_mesh.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace almondtiller::gateway {
namespace {

using std::chrono::milliseconds;

/// Two nodes in one process with one event loop.
class peer_mesh_test : public testing::Test
{
protected:
    peer_mesh_test()
    {
        EXPECT_FALSE(this->caller.listen());
        EXPECT_FALSE(this->receiver.listen());
        this->receiver.handle("late",
                              [this](const core::node_id&, const std::string&,
                                     const peer_mesh::reply& answer) {
                                  this->reply = answer;
                                  return std::function<void()>();
                              });
        this->caller.set_members({this->first, this->second});
        this->receiver.set_members({this->first, this->second});
        EXPECT_TRUE(this->world.run_until(
            [this]() { return this->caller.is_alive(this->second.node); }));
    }
    ~peer_mesh_test() override
    {
        close(this->sink);
    }

    static auto entry(const std::string& name) -> adapter::node_entry
    {
        auto new_entry = adapter::node_entry();
        new_entry.node = core::node_id(name);
        new_entry.peers = {"127.0.0.1", gateway_world::free_port()};
        new_entry.incarnation = "first";
        return new_entry;
    }

    /// Calls the second node and replaces its entry by \a later before it
    /// answers.
    auto call_during_registration(const adapter::node_entry& later)
        -> core::result<std::string>
    {
        auto outcome = std::optional<core::result<std::string>>();
        this->caller.call(this->second.node, "late", "", milliseconds(5000),
                          [&outcome](const auto& answer) { outcome = answer; });
        EXPECT_TRUE(
            this->world.run_until([this]() { return this->reply != nullptr; }));
        this->caller.set_members({this->first, later});
        this->reply(std::string("answer"));
        EXPECT_TRUE(this->world.run_until(
            [&outcome]() { return outcome.has_value(); }));
        return *outcome;
    }

    gateway_world::world world;
    int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
    event_log log{this->world.loop, this->world.clock, this->sink, "n"};
    adapter::node_entry first = entry("n1");
    adapter::node_entry second = entry("n2");
    peer_mesh caller{this->world.loop, this->first, this->log};
    peer_mesh receiver{this->world.loop, this->second, this->log};
    peer_mesh::reply reply;
};

// Load pattern: all nodes are restarted and register again while they call each
// other. Each call that failed made its sender the owner of a service.
TEST_F(peer_mesh_test, a_call_continues_while_its_node_registers_again)
{
    auto later = this->second;
    later.incarnation = "second";
    EXPECT_TRUE(this->call_during_registration(later));
    EXPECT_TRUE(this->caller.is_alive(this->second.node));
}

TEST_F(peer_mesh_test, a_call_to_a_node_with_a_new_address_fails)
{
    auto later = this->second;
    later.peers.port = gateway_world::free_port();
    EXPECT_FALSE(this->call_during_registration(later));
}

} // namespace
} // namespace almondtiller::gateway
