#include "platform_routes.h"
#include "standin/server.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace po = boost::program_options;
using almondtiller::fake_platform::platform_options;

auto parse(int argc, char** argv, platform_options& options) -> bool
{
    auto list_lag = std::int64_t(0);
    auto all = po::options_description("Stand-in for the platform");
    auto add = all.add_options();
    add("help", "show this text");
    add("listen", po::value(&options.listen), "IP and port; port 0 takes any");
    add("journal", po::value(&options.journal_path), "file to append to");
    add("list-lag-ms", po::value(&list_lag), "age of the instance list");
    add("reads-per-second", po::value(&options.reads_per_second), "0: any");
    add("writes-per-second", po::value(&options.writes_per_second), "0: any");
    try {
        auto values = po::variables_map();
        po::store(po::parse_command_line(argc, argv, all), values);
        po::notify(values);
        options.list_lag = almondtiller::core::milliseconds(list_lag);
        if (values.count("help") == 0) {
            return true;
        }
        std::cout << all;
    } catch (const po::error& failure) {
        std::cerr << failure.what() << '\n';
    }
    return false;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto options = platform_options();
    if (!parse(argc, argv, options)) {
        return 2;
    }
    auto shell = almondtiller::standin::server();
    auto routes = almondtiller::fake_platform::platform_routes(options);
    routes.install(shell.http());
    return shell.run(options.listen);
}
