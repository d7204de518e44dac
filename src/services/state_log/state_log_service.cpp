#include "services/state_log/state_log_service.h"

#include "fleet/config_source.h"
#include "fleet/peer_bus.h"
#include "kernel/kernel.h"
#include "logging/logging.h"

namespace almondtiller::services {

namespace {

auto state_text(fleet::member_state state) -> std::string
{
    switch (state) {
    case fleet::member_state::alive:
        return "alive";
    case fleet::member_state::suspect:
        return "suspect";
    case fleet::member_state::leaving:
        return "leaving";
    case fleet::member_state::dead:
        break;
    }
    return "dead";
}

} // namespace

auto state_log_service::name() const -> std::string_view
{
    return state_log_service_name;
}

auto state_log_service::dependencies() const -> std::vector<std::string>
{
    return {fleet::config_service_name, fleet::peers_service_name};
}

auto state_log_service::initialize(kernel::service_kernel& kernel)
    -> std::error_code
{
    static_cast<void>(kernel);
    return {};
}

auto state_log_service::services_initialized(kernel::service_kernel& kernel)
    -> std::error_code
{
    auto* config =
        kernel.find<fleet::config_source>(fleet::config_service_name);
    config->on_change([this](const settings::snapshot_ptr& changed) {
        this->log_configuration(*changed);
    });
    auto* peers = kernel.find<fleet::peer_bus>(fleet::peers_service_name);
    peers->on_members_changed(
        [this](const std::vector<fleet::member>& changed) {
            this->log_members(changed);
        });
    return {};
}

auto state_log_service::log_configuration(const settings::snapshot& changed)
    -> void
{
    const auto guard = std::lock_guard(this->mutex);
    logging::state_change("configuration_in_force",
                          {{"revision", std::to_string(changed.revision)}});
    for (const auto& [name, zone] : changed.zones) {
        const auto known = this->zones.find(name);
        if (known == this->zones.end() || known->second != zone.state) {
            logging::state_change(
                "zone_state",
                {{"zone", name.str()}, {"state", to_string(zone.state)}});
        }
        this->zones[name] = zone.state;
    }
}

auto state_log_service::log_members(const std::vector<fleet::member>& changed)
    -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto seen = std::map<core::node_id, fleet::member_state>();
    for (const auto& member : changed) {
        seen[member.id] = member.state;
        const auto known = this->members.find(member.id);
        if (known == this->members.end() || known->second != member.state) {
            logging::state_change("member_state",
                                  {{"node", member.id.str()},
                                   {"zone", member.zone.str()},
                                   {"state", state_text(member.state)}});
        }
    }
    for (const auto& [id, state] : this->members) {
        if (!seen.contains(id)) {
            logging::state_change("member_state",
                                  {{"node", id.str()}, {"state", "dead"}});
        }
    }
    this->members = std::move(seen);
}

} // namespace almondtiller::services
