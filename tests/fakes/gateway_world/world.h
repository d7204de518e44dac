#pragma once

#include "gateway_world/fake_store.h"
#include "gateway_world/fake_upstream.h"
#include "serving/node_settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondtiller::gateway_world {

/// \return A port of the loopback address that is kept free for one server of
///         this test, here or in a process that it starts.
[[nodiscard]] auto free_port() -> std::uint16_t;

/// \return Settings of a node in a zone, all on loopback.
[[nodiscard]] auto make_settings(const std::string& node,
                                 const std::string& zone,
                                 const core::endpoint& store)
    -> serving::node_settings;

/// \return The same as the text of a settings file.
[[nodiscard]] auto settings_text(const serving::node_settings& settings)
    -> std::string;

/// A platform with upstreams of every kind in two zones, on one loop: a store
/// with a configuration, stage engines, model engines and plain upstreams.
class world
{
public:
    world();

    /// Runs the loop until \a ready holds.
    /// \return False if it does not within \a bound.
    auto run_until(const std::function<bool()>& ready,
                   core::milliseconds bound = core::milliseconds(20000))
        -> bool;
    auto run_for(core::milliseconds time) -> void;

    /// Adds an upstream and registers it.
    auto add_upstream(const std::string& id, const std::string& service,
                      const std::string& zone) -> fake_upstream&;
    /// Registers an upstream's state anew.
    auto register_upstream(const fake_upstream& upstream,
                           const std::string& state) -> void;
    /// Registers an upstream as started anew under its id.
    auto register_restart(const fake_upstream& upstream) -> void;
    /// Ends an upstream as a crash does, and removes its entry.
    auto crash_upstream(const std::string& id) -> void;

    /// Puts a configuration with the next version in force.
    /// \param more_routes Routes beside the usual ones.
    auto put_config(const std::vector<std::string>& keys, int more_routes = 0)
        -> void;

    core::runtime_clock clock;
    event::loop loop{clock};
    fake_store store{loop};
    upstream_journal journal;
    std::map<std::string, std::unique_ptr<fake_upstream>> upstreams;

private:
    /// Starts of each upstream before the current one.
    std::map<std::string, std::int64_t> starts;
    int version = 0;
    std::int64_t beats = 0;
};

} // namespace almondtiller::gateway_world
