#include "services/gateway/store_mirror.h"

#include "gateway_world/world.h"
#include "services/gateway/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace almondtiller::gateway {
namespace {

class store_mirror_test : public testing::Test
{
protected:
    store_mirror_test() : sink(open("/dev/null", O_WRONLY | O_CLOEXEC))
    {}
    ~store_mirror_test() override
    {
        close(this->sink);
    }

    auto make_hooks() -> store_mirror::hooks
    {
        auto hooks = store_mirror::hooks();
        hooks.watch_wait = []() {
            return core::milliseconds(10000);
        };
        hooks.on_changes = [](const auto&) {
        };
        hooks.on_list = []() {
        };
        return hooks;
    }

    gateway_world::world world;
    int sink;
    event_log log{this->world.loop, this->world.clock, this->sink, "n"};
    http1::client_pool pool{this->world.loop};
    store_mirror mirror{this->world.loop,
                        this->pool,
                        this->world.store.address(),
                        adapter::object_kind::upstreams,
                        core::milliseconds(0),
                        this->log,
                        this->make_hooks()};
};

} // namespace

// A peer reports a removal while the answer to a watch, which is older, is
// still on its way.
TEST_F(store_mirror_test, a_removed_entry_does_not_return_from_an_older_answer)
{
    this->mirror.start();
    ASSERT_TRUE(
        this->world.run_until([this]() { return this->mirror.has_list(); }));
    this->world.run_for(core::milliseconds(100));
    this->world.store.put("servers", "late", {{"state", "ready"}});
    auto entry = adapter::stored_object();
    entry.name = "late";
    entry.revision = this->mirror.revision();
    entry.revision.number += 2;
    this->mirror.adopt_changes({{{entry, true}}, entry.revision, 0});
    this->world.run_for(core::milliseconds(300));
    EXPECT_FALSE(this->mirror.objects().contains("late"));
    EXPECT_EQ(this->mirror.revision(), entry.revision);
}

} // namespace almondtiller::gateway
