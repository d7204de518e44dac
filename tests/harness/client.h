#pragma once

#include "harness/caller.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondtiller::harness {

/// Every try of one request and what came of it in the end.
struct client_result
{
    call_result last;
    std::vector<call_outcome> tries;
    std::string address; ///< Of the last try.

    /// \return Whether nothing may have been executed by any try.
    [[nodiscard]] auto is_surely_not_run() const -> bool;
};

/// A caller that follows the endpoint answers and tries other nodes: refusals
/// that were not run anywhere, anything else only if the request is
/// repeatable or has an idempotency key. Not thread-safe.
class client
{
public:
    /// \param known Addresses of nodes to ask for endpoints.
    /// \param zone The zone that the client is near.
    client(std::vector<std::string> known, std::string zone);
    ~client();
    client(client&&) noexcept;
    auto operator=(client&&) noexcept -> client&;

    /// \param is_repeatable Whether a second execution does no harm.
    auto run(const call_request& request, bool is_repeatable) -> client_result;

private:
    auto refresh() -> void;
    auto connection(const std::string& address) -> caller&;

    std::vector<std::string> known;
    std::string zone;
    std::vector<std::string> endpoints;
    core::time_point valid_until;
    std::map<std::string, std::unique_ptr<caller>> connections;
};

} // namespace almondtiller::harness
