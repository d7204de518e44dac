#include "harness/declare.h"

#include "fleet/config_publisher.h"
#include "platform/http_object_store.h"
#include "settings/declaration_files.h"

#include <functional>

namespace almondtiller::harness {

namespace {

constexpr auto seed = 20261204U;

auto change(
    const std::string& platform_address,
    const std::function<fleet::change_outcome(fleet::config_publisher&)>& make)
    -> bool
{
    const auto clock = core::runtime_clock();
    auto store = platform::http_object_store(platform_address);
    auto publisher = fleet::config_publisher(store, clock, seed);
    return make(publisher).state == fleet::change_state::applied;
}

} // namespace

auto declare_settings(const std::string& platform_address,
                      const std::string& folder) -> bool
{
    const auto loaded = settings::load_tree(folder);
    if (!loaded.findings.empty()) {
        return false;
    }
    return change(platform_address, [&](auto& publisher) {
        return publisher.publish(loaded.tree, {"harness", "declare"}, {});
    });
}

auto declare_zone_state(const std::string& platform_address,
                        const std::string& zone, bool is_in) -> bool
{
    const auto state =
        is_in ? settings::zone_state::in : settings::zone_state::out;
    return change(platform_address, [&](auto& publisher) {
        return publisher.set_zone_state(core::zone_name(zone), state,
                                        {"harness", "zone"});
    });
}

} // namespace almondtiller::harness
