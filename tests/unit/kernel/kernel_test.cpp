#include "kernel/kernel.h"

#include <gtest/gtest.h>

namespace almondtiller::kernel {

namespace {

/// Records its start and stop calls in a journal shared by all services.
class recording_service : public service
{
public:
    recording_service(std::string name, std::vector<std::string> needs,
                      std::vector<std::string>& journal)
        : own_name(std::move(name)), needs(std::move(needs)), journal(journal)
    {}

    auto name() const -> std::string_view override
    {
        return this->own_name;
    }
    auto dependencies() const -> std::vector<std::string> override
    {
        return this->needs;
    }
    auto initialize(service_kernel&) -> std::error_code override
    {
        this->journal.push_back("start " + this->own_name);
        return this->failure;
    }
    auto about_to_shutdown() -> void override
    {
        this->journal.push_back("stop " + this->own_name);
    }

    std::error_code failure;

private:
    std::string own_name;
    std::vector<std::string> needs;
    std::vector<std::string>& journal;
};

using names = std::vector<std::string>;

auto make(const std::string& name, names needs, names& journal)
    -> std::unique_ptr<recording_service>
{
    return std::make_unique<recording_service>(name, std::move(needs), journal);
}

} // namespace

TEST(service_kernel, starts_dependencies_first_and_stops_them_last)
{
    auto journal = names();
    auto kernel = service_kernel();
    kernel.add(make("entry", {"store"}, journal));
    kernel.add(make("store", {}, journal));
    EXPECT_FALSE(kernel.start());
    kernel.shutdown();
    EXPECT_EQ(journal, (names{"start store", "start entry", "stop entry",
                              "stop store"}));
}

TEST(service_kernel, rejects_a_cycle)
{
    auto journal = names();
    auto kernel = service_kernel();
    kernel.add(make("a", {"b"}, journal));
    kernel.add(make("b", {"a"}, journal));
    EXPECT_EQ(kernel.start(), kernel_errc::dependency_cycle);
    EXPECT_TRUE(journal.empty());
}

TEST(service_kernel, rejects_a_missing_name)
{
    auto journal = names();
    auto kernel = service_kernel();
    kernel.add(make("a", {"nobody"}, journal));
    EXPECT_EQ(kernel.start(), kernel_errc::missing_service);
    EXPECT_EQ(kernel.failed_service(), "a");
}

TEST(service_kernel, stops_what_it_started_when_a_step_fails)
{
    auto journal = names();
    auto kernel = service_kernel();
    auto failing = make("b", {"a"}, journal);
    failing->failure = kernel_errc::missing_service;
    kernel.add(make("a", {}, journal));
    kernel.add(std::move(failing));
    EXPECT_TRUE(kernel.start());
    EXPECT_EQ(journal, (names{"start a", "start b", "stop a"}));
}

TEST(service_kernel, finds_a_service_by_interface_and_name)
{
    auto journal = names();
    auto kernel = service_kernel();
    kernel.add(make("a", {}, journal));
    EXPECT_NE(kernel.find<recording_service>("a"), nullptr);
    EXPECT_EQ(kernel.find<recording_service>("b"), nullptr);
    EXPECT_EQ(kernel.add(make("a", {}, journal)), kernel_errc::duplicate_name);
}

} // namespace almondtiller::kernel
