#pragma once

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace almondtiller::memory_budget {

/// Ports of a node whose connections are bounded together.
enum class port_group
{
    callers,
    control, ///< Readiness, directory and metrics.
    peers,
};
inline constexpr auto port_groups = std::size_t(3);

/// What a connection does.
enum class holder_phase
{
    idle,    ///< No request, or only a response that is not read.
    reading, ///< A request is being read; no byte of it was forwarded.
    running, ///< A request is being processed.
};

/// What a connection makes the process hold.
struct holder_load
{
    holder_phase phase = holder_phase::idle;
    std::size_t bytes = 0;

    auto operator==(const holder_load&) const -> bool = default;
};

struct budget_limits
{
    /// Bytes that all holders may hold together.
    std::size_t bytes = 0;
    /// Connections of each port_group.
    std::array<std::size_t, port_groups> connections{};
    /// Requests of callers that may run at once.
    std::size_t requests = 0;

    auto operator==(const budget_limits&) const -> bool = default;
};

/// \param memory_bytes Memory that the process may use.
/// \param max_descriptors Descriptors that the process may open. Those that the
///        limits leave are for the store, links to peers and listeners.
[[nodiscard]] auto limits_for(std::uint64_t memory_bytes,
                              std::uint32_t max_descriptors) -> budget_limits;

/// Identifies a connection; never reused.
using holder_id = std::uint64_t;

/// Accounts of the bytes and connections that callers and peers make a process
/// hold. Chooses which of them ends when there is too much.
///
/// Load: callers that ignore limits send many large bodies and stop before
/// their end, send thousands of pipelined requests without reading the
/// responses, or open connections without sending anything.
class memory_budget
{
public:
    explicit memory_budget(const budget_limits& limits);

    /// Opens the account of a connection.
    auto open(port_group group, const std::string& address,
              core::time_point now) -> holder_id;

    /// Replaces a holder's load; ignored if it is closed.
    auto update(holder_id holder, const holder_load& load, core::time_point now)
        -> void;

    /// Closes an account; ignored if it is closed.
    auto close(holder_id holder) -> void;

    /// \return Whether a holder that does not run a request yet may run one.
    [[nodiscard]] auto may_run(holder_id holder) const -> bool;

    /// \return The holder that must end because there are too many bytes;
    ///         nothing while they are within the limit.
    [[nodiscard]] auto over_bytes(core::time_point now) const
        -> std::optional<holder_id>;

    /// \param newest The connection accepted last, which ends if all others of
    ///        its group run requests.
    /// \return The holder that must end because there are too many connections;
    ///         nothing while they are within the limit.
    [[nodiscard]] auto over_connections(holder_id newest,
                                        core::time_point now) const
        -> std::optional<holder_id>;

    /// \return The phase last reported; idle if the holder is closed.
    [[nodiscard]] auto phase(holder_id holder) const -> holder_phase;
    [[nodiscard]] auto bytes() const -> std::size_t;
    [[nodiscard]] auto connections(port_group group) const -> std::size_t;

private:
    struct account
    {
        port_group group = port_group::callers;
        std::string address;
        holder_load load;
        core::time_point last_progress;
    };
    /// What the connections of one address hold together.
    struct address_use
    {
        std::size_t bytes = 0;
        std::array<std::size_t, port_groups> connections{};
    };
    [[nodiscard]] auto exceeds_byte_share(const account& holder) const -> bool;
    [[nodiscard]] auto exceeds_connection_share(const account& holder) const
        -> bool;

    budget_limits limits;
    std::map<holder_id, account> holders;
    std::map<std::string, address_use> addresses;
    std::size_t total_bytes = 0;
    std::array<std::size_t, port_groups> connection_counts{};
    std::size_t running_requests = 0;
    holder_id last_id = 0;
};

} // namespace almondtiller::memory_budget
