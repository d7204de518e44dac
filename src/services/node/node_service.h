#pragma once

#include "fleet/member.h"
#include "kernel/service.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace almondtiller::services {

/// The name of the node service.
constexpr auto node_service_name = "node";

/// Whether a node takes new requests, and why not.
enum class admission
{
    open,
    starting, ///< No configuration is known yet.
    isolated, ///< Neither the platform nor any peer was heard for too long.
    leaving,  ///< The graceful shutdown no longer takes requests.
};

/// Who this process is, and whether it takes requests.
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

    /// The incarnation is the wall-clock time of the start in milliseconds,
    /// so that it grows with each start.
    [[nodiscard]] auto identity() const -> const fleet::member&;

    /// Whether a graceful shutdown has begun.
    [[nodiscard]] auto is_leaving() const -> bool;
    auto set_leaving() -> void;

    /// \return What a new request meets; everything but open is refused with
    ///         the outcome not_run. A node that has begun to leave stays open
    ///         until callers have had time to learn it.
    [[nodiscard]] auto admission_state() const -> admission;

    /// \return Whether /readyz says so and endpoint answers name this node.
    [[nodiscard]] auto is_ready() const -> bool;

    auto set_has_configuration() -> void;
    /// \param check Tells whether this node is cut off; asked for each
    ///        request, so that a process that was paused knows at once.
    auto set_isolation_check(std::function<bool()> check) -> void;
    /// Refuses new requests from now on; the last step of leaving.
    auto set_refusing() -> void;

private:
    fleet::member self;
    std::string advertise;
    std::atomic<bool> leaving = false;
    std::atomic<bool> has_configuration = false;
    std::function<bool()> isolation_check = [] {
        return false;
    };
    std::atomic<bool> refusing = false;
};

} // namespace almondtiller::services
