#include "gateway_world/world.h"
#include "services/gateway/event_log.h"
#include "services/gateway/node_registration.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace almondtiller::gateway {
namespace {

using entry_map = std::map<std::string, adapter::stored_object>;

constexpr auto kind = "almondtiller-nodes";

class node_registration_test : public testing::Test
{
protected:
    node_registration_test() : sink(open("/dev/null", O_WRONLY | O_CLOEXEC))
    {
        auto entry = adapter::node_entry();
        entry.node = core::node_id("n0");
        entry.peers = {"127.0.0.1", 1};
        entry.incarnation = "own";
        this->registration.set_entry(entry);
        this->registration.announce();
        EXPECT_TRUE(this->world.run_until(
            [this]() { return this->registration.is_registered(); }));
    }
    ~node_registration_test() override
    {
        close(this->sink);
    }

    /// \return The entries of the store as a list that was read at \a number.
    [[nodiscard]] auto entries_at(std::int64_t number) const -> entry_map
    {
        const auto object =
            json{{"metadata", {{"name", "n0"}, {"revision", number}}},
                 {"spec", this->world.store.spec(kind, "n0")}};
        const auto page =
            json{{"items", json::array({object})}, {"asOf", number}};
        auto entries = entry_map();
        const auto read = adapter::decode_page(page.dump(), era);
        for (const auto& listed : read.value().objects) {
            entries[listed.name] = listed;
        }
        return entries;
    }

    using json = nlohmann::json;
    static constexpr auto era = std::int64_t(1);

    gateway_world::world world;
    int sink;
    event_log log{this->world.loop, this->world.clock, this->sink, "n0"};
    http1::client_pool pool{this->world.loop};
    int changes = 0;
    node_registration registration{this->world.loop, this->pool,
                                   this->world.store.address(), this->log,
                                   [this]() {
                                       ++this->changes;
                                   }};
};

} // namespace

// A list that was read before the last write arrives after its answer, and a
// removal from before that write after the list.
TEST_F(node_registration_test, entries_from_before_the_last_write_are_no_loss)
{
    const auto changes_before = this->changes;
    this->registration.on_entries(this->entries_at(1), {era, 1});
    this->registration.on_entries({}, {era, 2});
    EXPECT_TRUE(this->registration.is_registered());
    EXPECT_EQ(this->changes, changes_before);
}

TEST_F(node_registration_test, a_later_list_without_the_entry_is_a_loss)
{
    this->registration.on_entries({}, {era, 1000});
    EXPECT_FALSE(this->registration.is_registered());
}

// The number is lower in a store that was restored.
TEST_F(node_registration_test, a_list_of_a_later_era_is_later)
{
    this->registration.on_entries({}, {era + 1, 1});
    EXPECT_FALSE(this->registration.is_registered());
}

} // namespace almondtiller::gateway
