#include "tillerctl/command_line.h"

#include "settings/quantity.h"
#include "tillerctl/command.h"

#include <boost/program_options.hpp>

#include <iomanip>

namespace almondtiller::tillerctl {

namespace {

namespace options = boost::program_options;

constexpr auto version_text = "tillerctl 0.1.0\n";
constexpr auto name_width = 17;

auto visible_options() -> options::options_description
{
    auto visible = options::options_description("Flags");
    visible.add_options()("help,h", "show help, for a command its own")(
        "version", "show the version")(
        "platform", options::value<std::string>()->default_value(""),
        "IP:PORT of the platform's API (ALMONDTILLER_PLATFORM)")(
        "node", options::value<std::string>()->default_value(""),
        "IP:PORT of any node (ALMONDTILLER_NODE)")(
        "who", options::value<std::string>()->default_value(""),
        "recorded with each change (ALMONDTILLER_WHO, else USER)")(
        "output,o", options::value<std::string>()->default_value("table"),
        "table or json")("timeout",
                         options::value<std::string>()->default_value("10s"),
                         "how long to wait, like 500ms or 10s")(
        "log", options::value<std::vector<std::string>>()->multitoken(),
        "logs of nodes, for explain-request")(
        "dry-run", "show what would change and change nothing")(
        "prune", "remove what is declared no more")(
        "force", "allow what is refused as dangerous");
    return visible;
}

auto all_options() -> options::options_description
{
    auto all = visible_options();
    all.add_options()("words", options::value<std::vector<std::string>>());
    return all;
}

/// Maps ALMONDTILLER_PLATFORM to platform, and so on.
auto option_of_variable(const std::string& variable) -> std::string
{
    if (variable == "ALMONDTILLER_PLATFORM") {
        return "platform";
    }
    if (variable == "ALMONDTILLER_NODE") {
        return "node";
    }
    if (variable == "ALMONDTILLER_WHO") {
        return "who";
    }
    return {};
}

auto read_variables(int argc, char** argv) -> options::variables_map
{
    auto values = options::variables_map();
    const auto all = all_options();
    const auto words =
        options::positional_options_description().add("words", -1);
    options::store(options::command_line_parser(argc, argv)
                       .options(all)
                       .positional(words)
                       .run(),
                   values);
    options::store(options::parse_environment(all, option_of_variable), values);
    options::notify(values);
    return values;
}

auto default_who() -> std::string
{
    const auto* user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

auto usage_error(terminal& io, const std::string& what) -> exit_status
{
    io.err << "tillerctl: " << what << "; try tillerctl --help\n";
    return exit_status::usage;
}

auto to_invocation(const options::variables_map& values, terminal& io)
    -> std::variant<invocation, exit_status>
{
    auto call = invocation();
    if (values.contains("words")) {
        call.arguments = values["words"].as<std::vector<std::string>>();
    }
    if (!call.arguments.empty()) {
        call.command = call.arguments.front();
        call.arguments.erase(call.arguments.begin());
    }
    call.platform = values["platform"].as<std::string>();
    call.node = values["node"].as<std::string>();
    call.who = values["who"].as<std::string>();
    if (call.who.empty()) {
        call.who = default_who();
    }
    const auto output = values["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return usage_error(io, "--output is table or json, not " + output);
    }
    call.output = output == "json" ? output_format::json : output_format::table;
    const auto timeout = values["timeout"].as<std::string>();
    const auto parsed = settings::parse_duration(timeout);
    if (!parsed) {
        return usage_error(io, "--timeout needs a duration like 10s, not " +
                                   timeout);
    }
    call.timeout = parsed.value();
    if (values.contains("log")) {
        call.logs = values["log"].as<std::vector<std::string>>();
    }
    call.dry_run = values.contains("dry-run");
    call.prune = values.contains("prune");
    call.force = values.contains("force");
    return call;
}

auto check_words(const invocation& call, terminal& io)
    -> std::variant<invocation, exit_status>
{
    if (call.command.empty()) {
        return usage_error(io, "no command given");
    }
    const auto* row = find_command(call.command);
    if (row == nullptr) {
        return usage_error(io, "no command named " + call.command);
    }
    const auto count = call.arguments.size();
    if (count < row->min_arguments || count > row->max_arguments) {
        return usage_error(io, "usage: tillerctl " + std::string(row->name) +
                                   " " + std::string(row->arguments));
    }
    return call;
}

} // namespace

auto print_help(std::string_view command_name, terminal& io) -> void
{
    if (const auto* row = find_command(command_name)) {
        io.out << "usage: tillerctl " << row->name << ' ' << row->arguments
               << "\n\n"
               << row->summary << ".\n\nexample:\n  " << row->example << "\n\n"
               << visible_options();
        return;
    }
    io.out << "usage: tillerctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands\n";
    for (const auto& row : command_table()) {
        io.out << "  " << std::left << std::setw(name_width) << row.name
               << row.summary << "\n"
               << std::string(name_width + 2, ' ') << row.example << "\n";
    }
    io.out << '\n' << visible_options() << exit_status_help;
}

auto parse_command_line(int argc, char** argv, terminal& io)
    -> std::variant<invocation, exit_status>
{
    auto values = options::variables_map();
    try {
        values = read_variables(argc, argv);
    } catch (const options::error& error) {
        return usage_error(io, error.what());
    }
    if (values.contains("version")) {
        io.out << version_text;
        return exit_status::success;
    }
    auto parsed = to_invocation(values, io);
    const auto* call = std::get_if<invocation>(&parsed);
    if (call == nullptr) {
        return parsed;
    }
    if (values.contains("help")) {
        print_help(call->command, io);
        return exit_status::success;
    }
    return check_words(*call, io);
}

} // namespace almondtiller::tillerctl
