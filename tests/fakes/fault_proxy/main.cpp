#include "proxy.h"
#include "standin/server.h"

#include <boost/program_options.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <optional>
#include <thread>

namespace {

namespace po = boost::program_options;
using almondtiller::fault_proxy::fault;
using almondtiller::fault_proxy::fault_mode;
using almondtiller::fault_proxy::proxy;

constexpr auto mode_names = std::array{
    std::pair("pass", fault_mode::pass),
    std::pair("delay", fault_mode::delay),
    std::pair("black_hole", fault_mode::black_hole),
    std::pair("refuse", fault_mode::refuse),
    std::pair("cut", fault_mode::cut),
    std::pair("one_way", fault_mode::one_way),
    std::pair("duplicate", fault_mode::duplicate),
    std::pair("freeze", fault_mode::freeze),
};

auto parse_fault(const std::string& text) -> std::optional<fault>
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    const auto wanted = body.value("mode", "pass");
    for (const auto& [name, mode] : mode_names) {
        if (wanted == name) {
            return fault{mode, body.value("delay_ms", std::int64_t(0)),
                         body.value("after_bytes", std::uint64_t(0)),
                         body.value("to_client", true)};
        }
    }
    return std::nullopt;
}

struct proxy_flags
{
    std::string listen = "127.0.0.1:0";
    std::string admin = "127.0.0.1:0";
    std::string target;
};

auto parse_flags(int argc, char** argv, proxy_flags& flags) -> bool
{
    auto all = po::options_description("TCP proxy that injects faults");
    auto add = all.add_options();
    add("help", "show this text");
    add("listen", po::value(&flags.listen), "IP and port; port 0 takes any");
    add("admin", po::value(&flags.admin), "IP and port of POST /admin/fault");
    add("target", po::value(&flags.target)->required(), "IP and port");
    try {
        auto values = po::variables_map();
        po::store(po::parse_command_line(argc, argv, all), values);
        if (values.count("help") > 0) {
            std::cout << all;
            return false;
        }
        po::notify(values);
        return true;
    } catch (const po::error& failure) {
        std::cerr << failure.what() << '\n';
        return false;
    }
}

} // namespace

/// Prints `proxying IP:PORT` for the proxy, then `listening IP:PORT` for its
/// admin interface.
auto main(int argc, char** argv) -> int
{
    auto flags = proxy_flags();
    if (!parse_flags(argc, argv, flags)) {
        return 2;
    }
    auto admin = almondtiller::standin::server();
    auto disturbed = proxy(flags.listen, flags.target);
    admin.http().Post("/admin/fault", [&](const auto& request, auto& response) {
        const auto wanted = parse_fault(request.body);
        if (wanted) {
            disturbed.set_fault(*wanted);
        }
        almondtiller::standin::answer_json(response, wanted ? 200 : 400, "{}");
    });
    std::cout << "proxying " << flags.listen.substr(0, flags.listen.rfind(':'))
              << ':' << disturbed.port() << std::endl;
    std::thread([&] { disturbed.run(); }).detach();
    return admin.run(flags.admin);
}
