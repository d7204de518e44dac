#pragma once

#include "kernel/service.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace almondtiller::services {

/// The name of the HTTP service.
constexpr auto http_service_name = "http";

enum class http_method
{
    get,
    post,
    put,
    remove,
};

/// Where to listen and what to bear.
struct http_options
{
    std::string address; ///< IP number.
    int port = 0;        ///< 0 takes any free port.
    std::size_t max_body_bytes = std::size_t(8) << 20U;
    std::size_t max_connections = 1024;
    /// Bytes of all requests that are read or run, beyond the first 64 KiB of
    /// each.
    std::size_t max_request_bytes = std::size_t(64) << 20U;
    /// How long a connection may be idle.
    std::chrono::milliseconds keep_alive{15000};
    /// How long one whole request may take to arrive.
    std::chrono::milliseconds request_read{10000};

    auto operator==(const http_options&) const -> bool = default;
};

/// The one HTTP server of a process; other services add their routes in
/// services_initialized(), before start_listening().
class http_service : public kernel::service
{
public:
    using handler =
        std::function<void(const httplib::Request&, httplib::Response&)>;

    explicit http_service(http_options options);
    ~http_service() override;

    [[nodiscard]] auto name() const -> std::string_view override;

    /// Binds the port, so that one in use is found before anything starts.
    /// \return http_errc::address_unavailable when it cannot be bound.
    auto initialize(kernel::service_kernel& kernel) -> std::error_code override;
    auto about_to_shutdown() -> void override;

    /// \param pattern A regular expression that matches the whole path.
    auto add_route(http_method method, const std::string& pattern,
                   handler handle) -> void;

    /// Accepts connections from now on.
    auto start_listening() -> void;

    /// Stops accepting, closes idle connections and waits for the requests
    /// under way. Idempotent.
    auto stop_listening() -> void;

    /// \return The port that was bound.
    [[nodiscard]] auto port() const -> int;

    /// \return Tells whether the caller has closed the connection that the
    ///         calling thread serves; valid while its request is served, on
    ///         any thread.
    [[nodiscard]] static auto caller_probe() -> std::function<bool()>;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::services
