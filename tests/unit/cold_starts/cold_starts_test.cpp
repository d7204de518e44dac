#include "fleet/fleet_errc.h"
#include "kernel/kernel.h"
#include "services/cold_starts/cold_messages.h"
#include "services/cold_starts/cold_starts_service.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

namespace almondtiller::services {

namespace {

const auto pool = core::pool_name("p");
const auto upstream = core::upstream_id("u");

/// A bus of one node, without peers.
class single_node_bus : public kernel::service, public fleet::peer_bus
{
public:
    auto name() const -> std::string_view override
    {
        return fleet::peers_service_name;
    }
    auto initialize(kernel::service_kernel&) -> std::error_code override
    {
        return {};
    }
    auto self() const -> fleet::member override
    {
        auto made = fleet::member();
        made.id = core::node_id("n");
        made.incarnation = 1;
        return made;
    }
    auto members() const -> std::vector<fleet::member> override
    {
        return {this->self()};
    }
    auto on_members_changed(members_handler) -> void override
    {}
    auto call(const core::node_id&, const std::string&, const std::string&,
              core::milliseconds, reply_handler reply) -> void override
    {
        reply(make_error_code(fleet::fleet_errc::peer_unreachable));
    }
    auto handle(const std::string& topic, request_handler handler)
        -> void override
    {
        this->handlers[topic] = std::move(handler);
    }
    auto announce_leaving() -> void override
    {}

    std::map<std::string, request_handler> handlers;
};

class fixed_config : public kernel::service, public fleet::config_source
{
public:
    auto name() const -> std::string_view override
    {
        return fleet::config_service_name;
    }
    auto initialize(kernel::service_kernel&) -> std::error_code override
    {
        auto made = settings::snapshot();
        made.pools[pool].name = pool;
        made.pools[pool].cold_capacity = 2;
        this->snapshot = std::make_shared<const settings::snapshot>(made);
        return {};
    }
    auto current() const -> settings::snapshot_ptr override
    {
        return this->snapshot;
    }
    auto on_change(change_handler) -> void override
    {}

    settings::snapshot_ptr snapshot;
};

/// One pool with one cold upstream that has a demand for slots.
class cold_pool : public kernel::service, public pool_access
{
public:
    auto name() const -> std::string_view override
    {
        return upstreams_service_name;
    }
    auto initialize(kernel::service_kernel&) -> std::error_code override
    {
        return {};
    }
    auto pools() const -> std::vector<core::pool_name> override
    {
        return {pool};
    }
    auto cold_demand(const core::pool_name&) const -> demand override
    {
        return {{upstream, 5}};
    }
    auto cold_upstreams(const core::pool_name&) const
        -> std::vector<routing::cold_upstream> override
    {
        const auto guard = std::lock_guard(this->mutex);
        ++this->polls;
        this->changed.notify_all();
        return {{upstream, "", 5, 0}};
    }
    auto grant_cold_slots(const core::pool_name&,
                          const routing::cold_grant& grant) -> void override
    {
        const auto guard = std::lock_guard(this->mutex);
        this->slots = grant.slots;
    }
    auto on_cold_notification(cold_notification_handler handler)
        -> void override
    {
        this->notification_handler = std::move(handler);
    }
    auto apply_cold_notification(const core::pool_name&,
                                 const routing::cold_notification& notification)
        -> void override
    {
        const auto guard = std::lock_guard(this->mutex);
        this->notifications.push_back(notification);
    }
    auto deny_cold_slots(const core::pool_name&, const core::upstream_id&,
                         core::duration) -> void override
    {
        const auto guard = std::lock_guard(this->mutex);
        ++this->denials;
    }

    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    mutable int polls = 0;
    std::uint32_t slots = 0;
    int denials = 0;
    cold_notification_handler notification_handler;
    std::vector<routing::cold_notification> notifications;
};

} // namespace

TEST(cold_messages, round_trip)
{
    const auto slot_request =
        routing::cold_slot_request{upstream, pool, 1, 2, 3, 4, 5};
    EXPECT_EQ(decode_cold_slot_request(encode(slot_request)).value(),
              slot_request);
    auto response = routing::cold_slot_response();
    response.id = upstream;
    response.sequence = 7;
    response.verdict = routing::cold_verdict::no_quorum;
    response.slots = 3;
    response.valid_for = core::milliseconds(1000);
    response.retry_after = core::milliseconds(250);
    EXPECT_EQ(decode_cold_slot_response(encode(response)).value(), response);
    const auto notification = cold_notification_message{
        pool, {upstream, "i1", routing::cold_reason::unreachable}};
    EXPECT_EQ(decode_cold_notification(encode(notification)).value(),
              notification);
    for (const auto* malformed : {"", "x", "\xa0", "\xff\xff"}) {
        EXPECT_EQ(decode_cold_slot_request(malformed).error(),
                  fleet::fleet_errc::malformed_message);
        EXPECT_EQ(decode_cold_notification(malformed).error(),
                  fleet::fleet_errc::malformed_message);
        EXPECT_EQ(decode_cold_slot_response(malformed).error(),
                  fleet::fleet_errc::malformed_message);
    }
}

TEST(cold_starts_service, grants_slots_to_a_single_node_after_settling)
{
    auto kernel = kernel::service_kernel();
    kernel.clock().pause();
    kernel.add(std::make_unique<single_node_bus>());
    kernel.add(std::make_unique<fixed_config>());
    kernel.add(std::make_unique<cold_pool>());
    kernel.add(std::make_unique<cold_starts_service>());
    ASSERT_FALSE(kernel.start());
    auto* access = kernel.find<cold_pool>(upstreams_service_name);
    const auto started = kernel.clock().now();
    {
        // Advances the clock in steps until slots are granted, and waits for a
        // poll after each step.
        auto lock = std::unique_lock(access->mutex);
        while (access->slots == 0) {
            const auto seen = access->polls;
            kernel.clock().advance(core::milliseconds(20));
            access->changed.wait_for(lock, core::milliseconds(5),
                                     [&] { return access->polls > seen; });
        }
        EXPECT_EQ(access->slots, 2U);
        EXPECT_GT(access->denials, 0);
    }
    EXPECT_GE(kernel.clock().now() - started, std::chrono::seconds(6));
    auto* bus = kernel.find<single_node_bus>(fleet::peers_service_name);
    const auto& handler = bus->handlers.at(cold_slots_topic);
    const auto reply = handler(
        core::node_id("other"),
        encode(routing::cold_slot_request{upstream, pool, 1, 1, 0, 1, 0}));
    EXPECT_EQ(decode_cold_slot_response(reply.value()).value().slots, 0U);
    EXPECT_FALSE(handler(core::node_id("other"), "broken").has_value());
    kernel.shutdown();
}

TEST(cold_starts_service, applies_notifications_from_other_nodes)
{
    auto kernel = kernel::service_kernel();
    kernel.add(std::make_unique<single_node_bus>());
    kernel.add(std::make_unique<fixed_config>());
    kernel.add(std::make_unique<cold_pool>());
    kernel.add(std::make_unique<cold_starts_service>());
    ASSERT_FALSE(kernel.start());
    const auto notification = routing::cold_notification{
        upstream, "i1", routing::cold_reason::reported};
    const auto& handler =
        kernel.find<single_node_bus>(fleet::peers_service_name)
            ->handlers.at(cold_notifications_topic);
    EXPECT_TRUE(handler(core::node_id("other"),
                        encode(cold_notification_message{pool, notification})));
    EXPECT_FALSE(handler(core::node_id("other"), "broken"));
    kernel.shutdown();
    EXPECT_EQ(kernel.find<cold_pool>(upstreams_service_name)->notifications,
              std::vector{notification});
}

} // namespace almondtiller::services
