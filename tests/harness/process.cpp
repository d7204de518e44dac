#include "harness/process.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include <sys/prctl.h>
#include <unistd.h>

namespace almondtiller::harness {

namespace {

namespace bp = boost::process;

auto read_file(const std::string& path) -> std::string
{
    auto text = std::ostringstream();
    text << std::ifstream(path).rdbuf();
    return text.str();
}

auto environment(const char* name) -> std::string
{
    const auto* value = std::getenv(name);
    return value == nullptr ? "." : value;
}

} // namespace

struct process::state
{
    bp::child child;
    std::string output;
};

process::process(const std::string& program,
                 const std::vector<std::string>& args, std::string output)
    : data(std::make_unique<state>())
{
    this->data->output = std::move(output);
    // The library appends to a file that is there already.
    std::remove(this->data->output.c_str());
    this->data->child = bp::child(
        bp::exe = program_folder() + "/" + program, bp::args = args,
        (bp::std_out & bp::std_err) > this->data->output, bp::std_in < bp::null,
        bp::extend::on_exec_setup = [](auto& /*setup*/) {
            // Not even a killed test leaves processes behind.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        });
}

process::~process()
{
    if (this->data) {
        this->kill();
    }
}

process::process(process&&) noexcept = default;
auto process::operator=(process&& other) noexcept -> process&
{
    if (this->data) {
        this->kill();
    }
    this->data = std::move(other.data);
    return *this;
}

auto process::pid() const -> int
{
    return this->data->child.id();
}

auto process::is_running() const -> bool
{
    auto failure = std::error_code();
    return this->data->child.running(failure);
}

auto process::wait_for_line(const std::string& prefix,
                            core::milliseconds bound) const -> std::string
{
    auto rest = std::string();
    const auto has_line = [&] {
        auto lines = std::istringstream(this->output());
        for (auto line = std::string(); std::getline(lines, line);) {
            if (line.starts_with(prefix) && !lines.eof()) {
                rest = line.substr(prefix.size());
                return true;
            }
        }
        return !this->is_running();
    };
    eventually(has_line, bound);
    return rest;
}

auto process::signal(int number) const -> void
{
    if (this->is_running()) {
        ::kill(this->pid(), number);
    }
}

auto process::wait_for_exit(core::milliseconds bound) -> std::optional<int>
{
    if (!eventually([this] { return !this->is_running(); }, bound)) {
        return std::nullopt;
    }
    return this->data->child.exit_code();
}

auto process::kill() -> void
{
    if (this->data->child.valid() && this->is_running()) {
        auto failure = std::error_code();
        this->data->child.terminate(failure);
    }
}

auto process::output() const -> std::string
{
    return read_file(this->data->output);
}

auto process::usage() const -> process_usage
{
    const auto folder = "/proc/" + std::to_string(this->pid());
    const auto stat = read_file(folder + "/stat");
    auto fields = std::istringstream(stat.substr(stat.rfind(')') + 2));
    auto field = std::string();
    constexpr auto user_field = 12;
    auto ticks = 0.0;
    for (auto index = 1; index <= user_field + 1 && fields >> field; ++index) {
        ticks += index >= user_field ? std::stod(field) : 0.0;
    }
    auto pages = std::istringstream(read_file(folder + "/statm"));
    auto total = 0.0;
    auto resident = 0.0;
    pages >> total >> resident;
    constexpr auto bytes_per_megabyte = 1048576.0;
    return {ticks / double(sysconf(_SC_CLK_TCK)),
            resident * double(sysconf(_SC_PAGESIZE)) / bytes_per_megabyte};
}

auto program_folder() -> std::string
{
    return environment("ALMONDTILLER_BIN");
}

auto source_folder() -> std::string
{
    return environment("ALMONDTILLER_SOURCE");
}

} // namespace almondtiller::harness
