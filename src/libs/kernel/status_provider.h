#pragma once

#include <string>

namespace almondtiller::kernel {

/// A service that contributes to the response of GET /v1/status.
class status_provider
{
public:
    status_provider() = default;
    virtual ~status_provider() = default;
    status_provider(const status_provider&) = delete;
    auto operator=(const status_provider&) -> status_provider& = delete;

    /// \return A JSON object whose members are merged into the status. May be
    ///         called from any thread.
    [[nodiscard]] virtual auto status() const -> std::string = 0;
};

} // namespace almondtiller::kernel
