#pragma once

#include "kernel/service.h"
#include "platform/http_object_store.h"

#include <string>

namespace almondtiller::platform {

/// Name under which other services look up the object_store.
constexpr auto platform_service_name = "platform";

/// Makes the platform's object API available to the other services.
class platform_service : public kernel::service, public http_object_store
{
public:
    /// \param address IP:port of the platform's API.
    explicit platform_service(const std::string& address);

    [[nodiscard]] auto name() const -> std::string_view override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto about_to_shutdown() -> void override;
};

} // namespace almondtiller::platform
