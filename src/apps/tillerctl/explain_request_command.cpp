#include "tillerctl/commands.h"
#include "tillerctl/log_history.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace almondtiller::tillerctl {

namespace {

auto text_of(const log_line& line) -> std::string
{
    auto text = line.node + " " + line.event;
    for (const auto& [name, value] : line.fields) {
        text.append(" ").append(name).append("=").append(value);
    }
    return text;
}

auto print_table(const request_history& history, std::ostream& out) -> void
{
    const auto time_of = [](const log_line& line) {
        return line.wall_ms.value_or(line.steady_ms);
    };
    const auto start = time_of(history.lines.front());
    for (auto index = std::size_t(0); index < history.lines.size(); ++index) {
        const auto& line = history.lines[index];
        out << (history.deciding == index ? "> " : "  ")
            << time_of(line) - start << " ms " << text_of(line) << '\n';
    }
    out << history.cause << '\n';
}

auto print_json(const request_history& history, std::ostream& out) -> void
{
    auto document = nlohmann::json{{"cause", history.cause},
                                   {"lines", nlohmann::json::array()}};
    for (auto index = std::size_t(0); index < history.lines.size(); ++index) {
        const auto& line = history.lines[index];
        auto entry = nlohmann::json{{"node", line.node},
                                    {"event", line.event},
                                    {"steady_ms", line.steady_ms},
                                    {"fields", line.fields},
                                    {"decides", history.deciding == index}};
        if (line.wall_ms) {
            entry["wall_ms"] = *line.wall_ms;
        }
        document["lines"].push_back(std::move(entry));
    }
    out << document.dump(2) << '\n';
}

} // namespace

auto run_explain_request(const invocation& call, terminal& io) -> exit_status
{
    if (call.logs.empty()) {
        io.err << "tillerctl: explain-request needs --log FILE\n";
        return exit_status::usage;
    }
    auto lines = std::vector<log_line>();
    for (const auto& path : call.logs) {
        auto input = std::ifstream(path);
        if (!input) {
            io.err << "tillerctl: can't read " << path << '\n';
            return exit_status::failure;
        }
        const auto read = read_log(input);
        lines.insert(lines.end(), read.begin(), read.end());
    }
    const auto history =
        explain_request(call.arguments.front(), std::move(lines));
    if (!history) {
        io.err << "tillerctl: no line names the request "
               << call.arguments.front()
               << "; each attempt of a client has an id of its own\n";
        return exit_status::failure;
    }
    if (call.output == output_format::json) {
        print_json(*history, io.out);
    } else {
        print_table(*history, io.out);
    }
    return exit_status::success;
}

} // namespace almondtiller::tillerctl
