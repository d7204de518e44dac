#include "harness/wait.h"
#include "load/load.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace po = boost::program_options;
using namespace almondtiller;

struct load_flags
{
    std::vector<std::string> targets;
    harness::call_request request;
    std::int64_t deadline_ms = 3000;
    double rate = 50.0;
    double seconds = 10.0;
    std::size_t max_count = 100000;
    std::size_t workers = 128;
    std::uint64_t seed = 1;
    bool json = false;
};

auto parse(int argc, char** argv, load_flags& flags) -> bool
{
    auto all = po::options_description("Open-loop load on almondtiller nodes");
    auto add = all.add_options();
    auto& request = flags.request;
    add("help", "show this text");
    add("target", po::value(&flags.targets)->required()->composing(),
        "IP:PORT of a node; may be given again");
    add("workspace", po::value(&request.workspace)->required(), "workspace");
    add("pipeline", po::value(&request.pipeline)->required(), "pipeline");
    add("deadline-ms", po::value(&flags.deadline_ms), "of each request");
    add("priority", po::value(&request.priority), "of each request");
    add("stream", po::bool_switch(&request.stream), "ask for streams");
    add("tokens", po::value(&request.answer_tokens), "of each answer");
    add("rate", po::value(&flags.rate), "requests a second, on average");
    add("seconds", po::value(&flags.seconds), "length of the schedule");
    add("max-count", po::value(&flags.max_count), "requests at most");
    add("workers", po::value(&flags.workers), "requests in flight at most");
    add("seed", po::value(&flags.seed), "of the schedule");
    add("json", po::bool_switch(&flags.json), "print JSON, not a table");
    try {
        auto values = po::variables_map();
        po::store(po::parse_command_line(argc, argv, all), values);
        if (values.count("help") > 0) {
            std::cout << all;
            return false;
        }
        po::notify(values);
        request.deadline = core::milliseconds(flags.deadline_ms);
        return true;
    } catch (const po::error& failure) {
        std::cerr << failure.what() << '\n';
        return false;
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto flags = load_flags();
    if (!parse(argc, argv, flags)) {
        return 2;
    }
    auto arrivals = load::poisson_schedule(
        flags.rate,
        std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(flags.seconds)),
        flags.seed);
    arrivals.resize(std::min(arrivals.size(), flags.max_count));
    auto callers = std::vector<harness::caller>();
    for (auto worker = std::size_t(0); worker < flags.workers; ++worker) {
        callers.emplace_back(flags.targets[worker % flags.targets.size()]);
    }
    auto results = load::report();
    load::run_open_loop(
        arrivals, flags.workers,
        [&](std::size_t index, std::size_t worker, core::time_point intended) {
            auto request = flags.request;
            request.marker = "load-" + std::to_string(index);
            const auto result = callers[worker].run(request);
            const auto latency = harness::now() - intended;
            results.record(result, latency, latency <= request.deadline);
        });
    std::cout << (flags.json ? results.to_json() + "\n" : results.to_table());
    return results.count(harness::call_outcome::crossed) == 0 ? 0 : 1;
}
