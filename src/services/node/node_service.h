#pragma once

#include "fleet/member.h"
#include "kernel/service.h"

#include <atomic>
#include <string>
#include <vector>

namespace almondtiller::services {

/// The name of the node service.
constexpr auto node_service_name = "node";

/// Who this process is, and whether it is leaving.
class node_service : public kernel::service
{
public:
    /// \param identity With an empty address: it becomes \a advertise and
    ///        the port that the HTTP service has bound.
    /// \param advertise IP number.
    node_service(fleet::member identity, std::string advertise);

    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;

    [[nodiscard]] auto identity() const -> const fleet::member&;

    /// Whether a graceful shutdown has begun.
    [[nodiscard]] auto is_leaving() const -> bool;
    auto set_leaving() -> void;

private:
    fleet::member self;
    std::string advertise;
    std::atomic<bool> leaving = false;
};

} // namespace almondtiller::services
