#pragma once

#include "core/clock.h"
#include "harness/wait.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::harness {

/// What a process has used so far.
struct process_usage
{
    double cpu_seconds = 0.0;
    double resident_megabytes = 0.0;
};

/// A child process. It is killed when the object goes.
class process
{
public:
    /// Starts a program of the build's bin folder.
    /// \param output File for its standard output and error.
    process(const std::string& program, const std::vector<std::string>& args,
            std::string output);
    ~process();
    process(process&&) noexcept;
    auto operator=(process&&) noexcept -> process&;

    [[nodiscard]] auto pid() const -> int;
    [[nodiscard]] auto is_running() const -> bool;

    /// Waits for a line of output that starts with \a prefix.
    /// \return The rest of the line; empty when it does not come.
    [[nodiscard]] auto
    wait_for_line(const std::string& prefix,
                  core::milliseconds bound = default_bound) const
        -> std::string;

    auto signal(int number) const -> void;

    /// Waits for the process to end by itself.
    /// \return Its exit status; nothing when it still runs at the bound.
    auto wait_for_exit(core::milliseconds bound = default_bound)
        -> std::optional<int>;

    /// Sends SIGKILL and reaps the process. Idempotent.
    auto kill() -> void;

    [[nodiscard]] auto output() const -> std::string;
    [[nodiscard]] auto usage() const -> process_usage;

private:
    struct state;
    std::unique_ptr<state> data;
};

/// \return The folder of the built programs, from ALMONDTILLER_BIN.
auto program_folder() -> std::string;

/// \return The project's root folder, from ALMONDTILLER_SOURCE.
auto source_folder() -> std::string;

} // namespace almondtiller::harness
