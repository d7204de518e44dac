#pragma once

#include "fleet/member.h"
#include "kernel/service.h"
#include "settings/snapshot.h"

#include <map>
#include <mutex>
#include <vector>

namespace almondtiller::services {

/// The name of the service that logs changes of state.
constexpr auto state_log_service_name = "state_log";

/// Logs what changes in the configuration, among the members and in the
/// instance list: one line for each change of state.
class state_log_service : public kernel::service
{
public:
    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;

private:
    auto log_configuration(const settings::snapshot& changed) -> void;
    auto log_members(const std::vector<fleet::member>& changed) -> void;

    std::mutex mutex;
    std::map<core::zone_name, settings::zone_state> zones;
    std::map<core::node_id, fleet::member_state> members;
};

} // namespace almondtiller::services
