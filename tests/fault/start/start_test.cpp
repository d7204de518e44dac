#include "event/tcp_listener.h"
#include "gateway_world/world.h"
#include "harness/process.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>

// The start of real gateway processes.

namespace almondtiller::gateway {
namespace {

class start_test : public testing::Test
{
protected:
    start_test()
        : folder(std::filesystem::temp_directory_path() /
                 ("almondtiller-start-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(this->folder);
    }
    ~start_test() override
    {
        std::filesystem::remove_all(this->folder);
    }

    auto start() -> harness::process
    {
        return harness::process("almondtiller_gateway", {this->path()},
                                this->folder / "log");
    }

    [[nodiscard]] static auto logs(const harness::process& process,
                                   const std::string& text) -> bool
    {
        return harness::eventually([&process, &text]() {
            return process.output().find(text) != std::string::npos;
        });
    }

    [[nodiscard]] auto path() const -> std::string
    {
        return this->folder / "settings.toml";
    }

    gateway_world::world world;
    std::filesystem::path folder;
    serving::node_settings settings =
        gateway_world::make_settings("n0", "a", this->world.store.address());
    std::string text = gateway_world::settings_text(this->settings);
};

/// Starts a process that has not read its settings yet: they come through a
/// pipe.
class early_signal_test : public start_test
{
protected:
    early_signal_test()
    {
        EXPECT_EQ(mkfifo(this->path().c_str(), S_IRUSR | S_IWUSR), 0);
        this->process.emplace(this->start());
        // Returns when the process opens the pipe.
        this->pipe = open(this->path().c_str(), O_WRONLY | O_CLOEXEC);
    }

    auto write_settings() -> void
    {
        // A reload reads the file again.
        std::filesystem::remove(this->path());
        std::ofstream(this->path()) << this->text;
        EXPECT_EQ(write(this->pipe, this->text.data(), this->text.size()),
                  ssize_t(this->text.size()));
        close(this->pipe);
    }

    std::optional<harness::process> process;
    int pipe = -1;
};

} // namespace

// The platform announces changed settings to a process that has just started.
// Guards against a process that ends as it has no handler yet.
TEST_F(early_signal_test, a_reload_during_the_start_does_not_end_the_process)
{
    this->process->signal(SIGHUP);
    this->write_settings();
    EXPECT_TRUE(logs(*this->process, "event=reloaded"));
    EXPECT_TRUE(this->process->is_running());
}

TEST_F(early_signal_test, a_stop_during_the_start_ends_the_process_normally)
{
    this->process->signal(SIGTERM);
    this->write_settings();
    EXPECT_EQ(this->process->wait_for_exit(), 0);
}

/// The parameter is the address that is in use.
class address_in_use_test : public start_test,
                            public testing::WithParamInterface<
                                core::endpoint serving::node_settings::*>
{};

// A predecessor that still finishes its requests has the addresses. Guards
// against a node that ends instead of waiting for them.
TEST_P(address_in_use_test, waits_for_the_address)
{
    std::ofstream(this->path()) << this->text;
    auto holder = event::tcp_listener(this->world.loop, [](auto) {});
    ASSERT_FALSE(holder.listen(this->settings.*GetParam()));
    const auto process = this->start();
    ASSERT_TRUE(logs(process, "event=address_not_available"));
    holder.close();
    EXPECT_TRUE(logs(process, "event=listening"));
}

INSTANTIATE_TEST_SUITE_P(addresses, address_in_use_test,
                         testing::Values(&serving::node_settings::front,
                                         &serving::node_settings::readiness,
                                         &serving::node_settings::directory,
                                         &serving::node_settings::peers));

} // namespace almondtiller::gateway
