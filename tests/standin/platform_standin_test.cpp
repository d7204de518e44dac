#include "harness/harness.h"
#include "platform/http_object_store.h"
#include "platform/platform_errc.h"

#include <gtest/gtest.h>

namespace almondtiller {

namespace {

constexpr auto timeout = core::milliseconds(3000);

class fake_platform : public testing::Test
{
protected:
    fake_platform()
        : program("fake_platform",
                  {"--writes-per-second", "50", "--list-lag-ms", "200"},
                  testing::TempDir() + "fake_platform.log"),
          address(this->program.wait_for_line("listening ")),
          store(this->address)
    {}

    auto set_fault(const std::string& mode) -> void
    {
        harness::http_call(this->address, "/admin/fault",
                           R"({"mode":")" + mode + R"("})");
    }

    harness::process program;
    std::string address;
    platform::http_object_store store;
    platform::object_key key{"config", "head"};
};

} // namespace

TEST_F(fake_platform, refuses_updates_of_another_version)
{
    const auto first = this->store.create(this->key, "{}", timeout);
    ASSERT_TRUE(first);
    EXPECT_EQ(this->store.create(this->key, "{}", timeout).error(),
              platform::platform_errc::already_exists);
    const auto second =
        this->store.update(this->key, first.value(), "[1]", timeout);
    ASSERT_TRUE(second);
    EXPECT_EQ(
        this->store.update(this->key, first.value(), "[2]", timeout).error(),
        platform::platform_errc::version_conflict);
    EXPECT_EQ(this->store.get(this->key, timeout).value().value, "[1]");
}

TEST_F(fake_platform, loses_answers_after_the_change_took_effect)
{
    this->set_fault("drop_answers");
    EXPECT_EQ(this->store.create(this->key, "{}", timeout).error(),
              platform::platform_errc::outcome_unknown);
    EXPECT_TRUE(this->store.get(this->key, timeout));
}

TEST_F(fake_platform, refuses_every_call_in_an_outage)
{
    this->set_fault("down");
    EXPECT_EQ(this->store.get(this->key, timeout).error(),
              platform::platform_errc::unavailable);
    this->set_fault("up");
    EXPECT_EQ(this->store.get(this->key, timeout).error(),
              platform::platform_errc::not_found);
}

TEST_F(fake_platform, ends_a_watch_with_the_first_change)
{
    const auto created = this->store.create(this->key, "{}", timeout);
    ASSERT_TRUE(created);
    const auto before = this->store.watch("config", 0, timeout);
    ASSERT_TRUE(before);
    EXPECT_EQ(before.value().events.size(), 1U);
    const auto after = this->store.watch("config", before.value().revision,
                                         core::milliseconds(50));
    ASSERT_TRUE(after);
    EXPECT_TRUE(after.value().events.empty());
}

TEST_F(fake_platform, refuses_writes_over_the_rate)
{
    auto limited = 0;
    for (auto index = 0; index < 120; ++index) {
        const auto name = "object-" + std::to_string(index);
        const auto made = this->store.create({"claim", name}, "{}", timeout);
        limited += made.has_error() &&
                   made.error() == platform::platform_errc::rate_limited;
    }
    EXPECT_GT(limited, 0);
}

TEST_F(fake_platform, shows_a_changed_instance_list_only_after_the_lag)
{
    const auto body =
        std::string(R"({"instances":[{"id":"a","role":"upstream","zone":"z",)"
                    R"("address":"127.0.0.1:1"}]})");
    const auto start = harness::now();
    harness::http_call(this->address, "/admin/instances", body);
    EXPECT_TRUE(harness::eventually([this] {
        return this->store.instances(timeout).value().size() == 1U;
    }));
    EXPECT_GE(harness::now() - start, core::milliseconds(190));
}

} // namespace almondtiller
