#include "compose.h"
#include "core/errc.h"
#include "logging/logging.h"
#include "services/http/http_service.h"

#include <pthread.h>

#include <csignal>
#include <iostream>

namespace {

/// Blocks the signals that end the process in every thread, so that one
/// thread can wait for them.
auto block_end_signals() -> sigset_t
{
    auto signals = sigset_t();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

auto run_node(const almondtiller::node_options& options) -> int
{
    using namespace almondtiller;
    const auto signals = block_end_signals();
    logging::set_up(options.log_format == "json" ? logging::log_format::json
                                                 : logging::log_format::text,
                    std::cerr);
    auto kernel = kernel::service_kernel();
    auto error = compose(kernel, options);
    if (!error) {
        error = kernel.start();
    }
    if (error) {
        std::cerr << "almondtiller: service " << kernel.failed_service() << ": "
                  << error.message() << "\n";
        return usage_exit_status;
    }
    auto* http =
        kernel.find<services::http_service>(services::http_service_name);
    http->start_listening();
    // One write, because other threads write log lines to the same stream.
    std::cout << "listening http=" + options.listen_address + ":" +
                     std::to_string(http->port()) +
                     " peers=" + options.peer_address + ":" +
                     std::to_string(peer_port(kernel, options)) + "\n"
              << std::flush;
    auto received = 0;
    sigwait(&signals, &received);
    kernel.shutdown();
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto parsed = almondtiller::parse_options(argc, argv);
    if (parsed.run) {
        return run_node(parsed.options);
    }
    auto& stream = parsed.exit_status == 0 ? std::cout : std::cerr;
    stream << parsed.text;
    return parsed.exit_status;
}
