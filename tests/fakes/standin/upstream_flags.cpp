#include "standin/upstream_flags.h"

#include <boost/program_options.hpp>

#include <iostream>

#include <unistd.h>

namespace almondtiller::standin {

namespace {

namespace po = boost::program_options;

/// Times of the command line, before they become durations.
struct raw_times
{
    std::int64_t fall = 0;
    std::int64_t report_lag = 0;
    std::int64_t load = 0;
    std::int64_t cache_lag = 0;
};

template <typename Value>
auto flag(Value& target)
{
    return po::value(&target)->default_value(target);
}

auto describe(upstream_flags& flags, raw_times& times)
    -> po::options_description
{
    auto& options = flags.options;
    auto all = po::options_description("Stand-in for an upstream");
    auto add = all.add_options();
    add("help", "show this text");
    add("listen", flag(flags.listen), "IP and port; port 0 takes any");
    add("journal", flag(flags.journal_path), "file to append the journal to");
    add("kind", flag(options.kind), "stage kind");
    add("incarnation", flag(options.incarnation_prefix), "prefix");
    add("capacity", flag(options.capacity), "requests at once");
    add("queue-limit", flag(options.queue_limit), "requests that wait");
    add("cold", po::bool_switch(&options.starts_cold), "start cold");
    add("cold-capacity", flag(options.cold_capacity), "requests at once");
    add("warm-completions", flag(options.warm_completions), "until warm");
    add("cold-factor", flag(options.cold_factor), "slowdown while cold");
    add("fall-ms", flag(times.fall), "time down after falling over");
    add("service-ms", flag(options.service_ms), "time of a whole answer");
    add("service-spread", flag(options.service_spread), "share at random");
    add("prefill-ms", flag(options.prefill_ms), "without cached prefix");
    add("token-ms", flag(options.token_ms), "time of one token");
    add("tokens", flag(options.tokens), "tokens of an answer");
    add("report-lag-ms", flag(times.report_lag), "age of load reports");
    add("reports-load", flag(options.reports_load), "serve /v1/load");
    add("check-fencing", po::bool_switch(&options.checks_fencing),
        "refuse orders with an old fencing number");
    add("load-ms", flag(times.load), "time to load a model");
    add("cache-lag-ms", flag(times.cache_lag), "age of cache events");
    add("cache-loss", flag(options.cache_loss), "share of events lost");
    add("cache-entries", flag(options.cache_entries), "prefixes kept");
    add("seed", flag(options.seed), "of everything random");
    return all;
}

} // namespace

auto parse_upstream_flags(int argc, char** argv,
                          const std::string& default_kind)
    -> std::optional<upstream_flags>
{
    auto flags = upstream_flags();
    flags.options.kind = default_kind;
    flags.options.incarnation_prefix = std::to_string(getpid()) + "-";
    auto times = raw_times{
        flags.options.fall_time.count(), flags.options.report_lag.count(),
        flags.options.load_time.count(), flags.options.cache_lag.count()};
    const auto all = describe(flags, times);
    try {
        auto values = po::variables_map();
        po::store(po::parse_command_line(argc, argv, all), values);
        po::notify(values);
        if (values.count("help") > 0) {
            std::cout << all;
            return std::nullopt;
        }
    } catch (const po::error& failure) {
        std::cerr << failure.what() << '\n';
        return std::nullopt;
    }
    flags.options.fall_time = milliseconds(times.fall);
    flags.options.report_lag = milliseconds(times.report_lag);
    flags.options.load_time = milliseconds(times.load);
    flags.options.cache_lag = milliseconds(times.cache_lag);
    return flags;
}

} // namespace almondtiller::standin
