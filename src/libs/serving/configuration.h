#pragma once

#include "core/ids.h"
#include "http1/parser.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondtiller::serving {

using service_name = core::typed_id<struct service_tag>;

/// Determines whether a request may be sent to an upstream more than once.
enum class route_kind
{
    idempotent,
    non_idempotent,
    streaming,
};

/// A service that receives a share of a route's requests.
struct weighted_service
{
    service_name service;
    double weight = 1;

    auto operator==(const weighted_service&) const -> bool = default;
};

/// A preparatory step that must complete before the request itself runs.
struct stage
{
    service_name service;
    /// Indices of the stages whose results are inputs of this stage.
    std::vector<std::size_t> after;
    std::uint64_t result_bytes = 0;

    auto operator==(const stage&) const -> bool = default;
};

struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    std::vector<weighted_service> services;
    std::vector<stage> stages;
    std::chrono::milliseconds timeout{10000};
    /// Target for the time until the response begins.
    std::chrono::milliseconds target_latency{1000};
    /// 0 is the highest priority.
    int priority = 0;
    int max_attempts = 1;
    bool needs_key = true;
    bool is_resumable = false;

    auto operator==(const route&) const -> bool = default;
};

/// A service that runs stage pieces in batches.
struct stage_pool
{
    std::uint32_t batch = 1;
    std::chrono::duration<double, std::milli> call_time{100};
    std::chrono::duration<double, std::milli> item_time{10};
    /// Capacity for results at one upstream.
    std::uint64_t room_bytes = 0;
    std::chrono::duration<double> result_life{4};

    auto operator==(const stage_pool&) const -> bool = default;
};

/// A service that generates tokens.
struct model_pool
{
    std::uint32_t slots = 1;
    std::uint64_t kv_tokens = 0;

    auto operator==(const model_pool&) const -> bool = default;
};

struct service
{
    service_name name;
    /// How long an upstream stays cold after its start.
    std::chrono::duration<double> cold_time{0};
    /// Requests per second that a cold upstream can handle; 0 means no limit.
    double cold_rate = 0;
    std::optional<stage_pool> stages;
    std::optional<model_pool> model;

    auto operator==(const service&) const -> bool = default;
};

struct workspace
{
    core::workspace_name name;
    std::optional<int> priority;
    /// Its part of scarce capacity relative to other workspaces; greater than
    /// 0.
    double weight = 1;

    auto operator==(const workspace&) const -> bool = default;
};

struct caller_limits
{
    http1::parser_limits parser;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};

    auto operator==(const caller_limits&) const -> bool = default;
};

/// A complete configuration.
struct configuration
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::map<service_name, service> services;
    caller_limits limits;
    /// Whether requests must carry an API key. If false, no route requires one.
    bool has_workspaces = false;
    std::unordered_map<std::string, workspace> workspaces_by_key;

    auto operator==(const configuration&) const -> bool = default;

    /// \return The route with the longest matching prefix, nullptr if none.
    [[nodiscard]] auto find_route(std::string_view host,
                                  std::string_view path) const -> const route*;
    [[nodiscard]] auto find_service(const service_name& name) const
        -> const service*;
    /// \return The workspace that owns the API key \a key, nullptr if none.
    [[nodiscard]] auto find_workspace(const std::string& key) const
        -> const workspace*;
};

} // namespace almondtiller::serving
