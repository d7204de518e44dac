#include "core/metrics.h"
#include "event/signal_hold.h"
#include "platform/settings_file.h"
#include "services/gateway/event_log.h"
#include "services/gateway/gateway.h"

#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace almondtiller;

/// Exit status for missing or invalid settings.
constexpr auto usage_status = 2;

/// Makes the allocator return the memory of large buffers at once. By default
/// it raises these thresholds after the first large buffer, and the memory of
/// later ones stays with the process.
auto limit_kept_memory() -> void
{
    constexpr auto threshold_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, threshold_bytes);
}

auto settings_path(int argc, char** argv) -> std::string
{
    if (argc > 1) {
        return argv[1];
    }
    const auto* path = std::getenv(adapter::settings_variable);
    return path == nullptr ? std::string() : std::string(path);
}

/// \param hold Released when the handlers are installed.
auto run(const std::string& path, const serving::node_settings& settings,
         event::signal_hold& hold) -> int
{
    const auto clock = core::runtime_clock();
    auto loop = event::loop(clock);
    auto log =
        gateway::event_log(loop, clock, STDOUT_FILENO, settings.node.str());
    auto metrics = core::metrics_registry();
    auto node =
        gateway::node(loop, settings, log, metrics, [&loop]() { loop.stop(); });
    loop.on_signal(SIGTERM, [&node]() { node.leave(); });
    loop.on_signal(SIGINT, [&node]() { node.leave(); });
    loop.on_signal(SIGHUP, [&node, &log, &path]() {
        const auto again = adapter::load_settings(path);
        log.write(gateway::severity::notice, "reloaded",
                  {{"error", again.error.message()}, {"detail", again.detail}});
        if (!again.error) {
            node.reload(again.settings);
        }
    });
    hold.release();
    log.write(gateway::severity::notice, "started",
              {{"zone", settings.zone.str()},
               {"front", core::to_text(settings.front)}});
    if (const auto error = node.start()) {
        std::cerr << "almondtiller_gateway: cannot listen: " << error.message()
                  << "\n";
        return 1;
    }
    loop.run();
    log.flush();
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    limit_kept_memory();
    auto hold = event::signal_hold({SIGTERM, SIGINT, SIGHUP});
    const auto path = settings_path(argc, argv);
    if (path.empty() || path == "--help") {
        std::cout << "usage: almondtiller_gateway [SETTINGS]\n"
                     "A node on the platform. SETTINGS is the path of its "
                     "settings file; "
                  << adapter::settings_variable << " otherwise.\n";
        return path.empty() ? usage_status : 0;
    }
    const auto loaded = adapter::load_settings(path);
    if (loaded.error) {
        std::cerr << "almondtiller_gateway: " << loaded.error.message() << ": "
                  << loaded.detail << "\n";
        return usage_status;
    }
    return run(path, loaded.settings, hold);
}
