#include "tillerctl/commands.h"
#include "tillerctl/node_client.h"
#include "tillerctl/session.h"
#include "tillerctl/status_table.h"

#include <nlohmann/json.hpp>

namespace almondtiller::tillerctl {

namespace {

/// Reads a path of the node that the call names and prints it.
auto print_from_node(const invocation& call, terminal& io,
                     const std::string& path,
                     void (*print)(const nlohmann::json&, std::ostream&))
    -> exit_status
{
    auto opened = session(call, io);
    const auto address = opened.node_address("");
    if (!address) {
        return exit_status::usage;
    }
    const auto answer = get_json(*address, path, call.timeout);
    if (!answer) {
        opened.report(*address, answer.error());
        return exit_status::unreachable;
    }
    if (call.output == output_format::json) {
        io.out << answer.value().dump(2) << '\n';
    } else {
        print(answer.value(), io.out);
    }
    return exit_status::success;
}

} // namespace

auto run_status(const invocation& call, terminal& io) -> exit_status
{
    return print_from_node(call, io, "/v1/status", print_status);
}

auto run_top(const invocation& call, terminal& io) -> exit_status
{
    return print_from_node(call, io, "/v1/top", print_top);
}

auto run_drain(const invocation& call, terminal& io) -> exit_status
{
    auto opened = session(call, io);
    const auto address = opened.node_address(call.arguments.front());
    if (!address) {
        return exit_status::failure;
    }
    if (const auto error = post(*address, "/v1/drain", call.timeout)) {
        opened.report(*address, error);
        return exit_status::unreachable;
    }
    io.out << *address << " is leaving\n";
    return exit_status::success;
}

} // namespace almondtiller::tillerctl
