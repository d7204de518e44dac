#include "options.h"

#include "core/random.h"

#include <boost/program_options.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <chrono>
#include <optional>
#include <sstream>
#include <string_view>

namespace almondtiller {

namespace {

namespace po = boost::program_options;

constexpr auto environment_prefix = std::string_view("ALMONDTILLER_");
constexpr auto max_port = 65535;

struct socket_address
{
    std::string ip;
    int port = 0;
};

auto parse_address(const std::string& text) -> std::optional<socket_address>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto parsed = socket_address{text.substr(0, colon), -1};
    const auto* end = text.data() + text.size();
    const auto read =
        std::from_chars(text.data() + colon + 1, end, parsed.port);
    auto binary = in_addr();
    if (read.ec != std::errc() || read.ptr != end || parsed.port < 0 ||
        parsed.port > max_port ||
        inet_pton(AF_INET, parsed.ip.c_str(), &binary) != 1) {
        return std::nullopt;
    }
    return parsed;
}

auto describe_options() -> po::options_description
{
    auto flags = po::options_description("almondtiller");
    const auto text = [](const char* value) {
        return po::value<std::string>()->default_value(value);
    };
    auto add = flags.add_options();
    add("node-id", text(""), "identity of the node; random when empty");
    add("zone", text(""), "availability zone of the node; required");
    add("region", text("local"), "region of the node");
    add("listen", text("127.0.0.1:8080"), "IP:PORT for callers");
    add("peer-listen", text("127.0.0.1:8081"), "IP:PORT for other nodes");
    add("advertise", text(""), "IP that others use; default that of --listen");
    add("platform", text("127.0.0.1:7000"), "IP:PORT of the platform's API");
    add("log-format", text("text"), "text or json");
    add("max-connections", text("1024"), "connections served at a time");
    add("help", "print this page");
    add("version", "print the version");
    return flags;
}

/// Maps ALMONDTILLER_NODE_ID to node-id.
auto environment_name(const po::options_description& flags,
                      const std::string& variable) -> std::string
{
    if (!variable.starts_with(environment_prefix)) {
        return "";
    }
    auto name = variable.substr(environment_prefix.size());
    for (auto& letter : name) {
        letter = letter == '_' ? '-' : char(std::tolower(letter));
    }
    return flags.find_nothrow(name, false) != nullptr ? name : "";
}

auto usage_error(const std::string& text) -> parsed_options
{
    auto parsed = parsed_options();
    parsed.text = "almondtiller: " + text + "\n";
    parsed.exit_status = usage_exit_status;
    return parsed;
}

auto information(const std::string& text) -> parsed_options
{
    auto parsed = parsed_options();
    parsed.text = text;
    return parsed;
}

auto check_values(const po::variables_map& values) -> parsed_options
{
    const auto text = [&values](const char* name) {
        return values[name].as<std::string>();
    };
    const auto listen = parse_address(text("listen"));
    const auto peer_listen = parse_address(text("peer-listen"));
    if (text("zone").empty()) {
        return usage_error("--zone is required");
    }
    if (!listen || !peer_listen || !parse_address(text("platform"))) {
        return usage_error(
            "--listen, --peer-listen and --platform take IP:PORT");
    }
    if (text("log-format") != "text" && text("log-format") != "json") {
        return usage_error("--log-format takes text or json");
    }
    const auto limit = text("max-connections");
    auto parsed = parsed_options();
    auto& options = parsed.options;
    const auto read = std::from_chars(limit.data(), limit.data() + limit.size(),
                                      options.max_connections);
    if (read.ec != std::errc() || read.ptr != limit.data() + limit.size() ||
        options.max_connections == 0) {
        return usage_error("--max-connections takes a number from 1");
    }
    options.listen_address = listen->ip;
    options.listen_port = listen->port;
    options.peer_address = peer_listen->ip;
    options.peer_port = peer_listen->port;
    options.advertise =
        text("advertise").empty() ? listen->ip : text("advertise");
    options.platform = text("platform");
    options.log_format = text("log-format");
    options.identity.id = core::node_id(text("node-id"));
    options.identity.zone = core::zone_name(text("zone"));
    options.identity.region = core::region_name(text("region"));
    if (options.identity.id.empty()) {
        auto random = core::random_source(core::system_seed());
        options.identity.id = core::node_id("node-" + random.hex_id());
    }
    parsed.run = true;
    return parsed;
}

} // namespace

auto parse_options(int argc, const char* const* argv) -> parsed_options
{
    const auto flags = describe_options();
    auto values = po::variables_map();
    try {
        po::store(po::command_line_parser(argc, argv)
                      .options(flags)
                      .positional({})
                      .run(),
                  values);
        po::store(po::parse_environment(flags,
                                        [&flags](const std::string& name) {
                                            return environment_name(flags,
                                                                    name);
                                        }),
                  values);
    } catch (const po::error& error) {
        return usage_error(error.what());
    }
    if (values.count("help") > 0) {
        auto page = std::ostringstream();
        page << flags
             << "\nEach flag may be set in the environment: --node-id as "
                "ALMONDTILLER_NODE_ID.\n";
        return information(page.str());
    }
    if (values.count("version") > 0) {
        return information("almondtiller 0.1.0\n");
    }
    return check_values(values);
}

} // namespace almondtiller
