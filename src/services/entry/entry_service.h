#pragma once

#include "kernel/kernel.h"
#include "kernel/service.h"
#include "services/execution/executor.h"

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace almondtiller::services {

class endpoints_service;
class http_service;
class node_service;

/// The name of the entry service.
constexpr auto entry_service_name = "entry";

/// The callers' API over HTTP. Refusals are problem documents.
class entry_service : public kernel::service
{
public:
    [[nodiscard]] auto name() const -> std::string_view override;
    [[nodiscard]] auto dependencies() const
        -> std::vector<std::string> override;
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto services_initialized(kernel::service_kernel& kernel)
        -> std::error_code override;

    /// Stops listening and lets the requests under way finish.
    auto about_to_shutdown() -> void override;

private:
    auto run(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto run_whole(const api::run_request& wanted, httplib::Response& response)
        -> void;
    auto run_streamed(const api::run_request& wanted,
                      httplib::Response& response) -> void;
    /// \return Why no request is taken now; no error otherwise.
    [[nodiscard]] auto admission_error() const -> std::error_code;
    auto refuse(std::error_code code, httplib::Response& response) -> void;

    core::metrics_registry* metrics = nullptr;
    executor* execution = nullptr;
    http_service* http = nullptr;
    node_service* node = nullptr;
    endpoints_service* endpoints = nullptr; ///< May be null.
};

} // namespace almondtiller::services
