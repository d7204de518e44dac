#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace almondtiller::load {

/// One stage's call of an upstream, without a node between.
struct upstream_request
{
    std::string attempt;
    std::string request;
    std::string workspace;
    std::string kind = "call";
    std::string input = "{}"; ///< JSON text.
    std::string idempotency_key;
    std::uint32_t max_tokens = 256;
    bool stream = false;
    core::milliseconds timeout{3000};
};

struct upstream_reply
{
    bool complete = false;
    /// Whether the upstream may have executed the request.
    bool may_have_started = false;
    std::uint32_t tokens = 0;
    core::duration first_token{};
    core::duration latency{};
    std::string output; ///< JSON text.
};

/// One connection to one upstream. Not thread-safe.
class upstream_connection
{
public:
    explicit upstream_connection(const std::string& address);
    ~upstream_connection();
    upstream_connection(upstream_connection&&) noexcept;
    auto operator=(upstream_connection&&) noexcept -> upstream_connection&;

    auto call(const upstream_request& request) -> upstream_reply;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::load
