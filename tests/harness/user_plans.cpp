#include "harness/user_plans.h"

#include <utility>

namespace almondtiller::harness {

namespace {

constexpr auto model_pool_members = 3U;
constexpr auto service_capacity = 32U;
constexpr auto report_lag_ms = "200";

auto member_flags(const plan_options& options, const std::string& kind,
                  std::uint32_t capacity, std::uint32_t cold_capacity)
    -> std::vector<std::string>
{
    auto flags = std::vector<std::string>{
        "--kind",           kind,
        "--service-ms",     std::to_string(options.service_ms),
        "--service-spread", "0.2",
        "--report-lag-ms",  report_lag_ms,
        "--capacity",       std::to_string(capacity),
        "--cold-capacity",  std::to_string(cold_capacity)};
    if (options.starts_cold) {
        flags.emplace_back("--cold");
    }
    return flags;
}

auto service_pool(const plan_options& options, const std::string& name,
                  std::uint32_t count, const std::string& kind,
                  std::uint32_t cold_capacity) -> pool_plan
{
    return {name, count, "fake_service",
            member_flags(options, kind, service_capacity, cold_capacity),
            options.upstreams_behind_proxies};
}

auto engine_pool(const plan_options& options, const std::string& name,
                 std::uint32_t count) -> pool_plan
{
    auto flags = member_flags(options, "generate", options.engine_capacity, 1);
    flags.insert(flags.end(), {"--token-ms", std::to_string(options.token_ms),
                               "--prefill-ms", "10"});
    return {name, count, "fake_engine", flags,
            options.upstreams_behind_proxies};
}

auto base_plan(const plan_options& options, const std::string& region)
    -> cluster_plan
{
    auto plan = cluster_plan();
    plan.region = region;
    plan.zones = {region + "-a", region + "-b", region + "-c"};
    plan.nodes = options.nodes;
    plan.platform_behind_proxy = options.platform_behind_proxy;
    for (const auto& [name, kind] :
         {std::pair("encoders", "encode"), std::pair("retrievers", "retrieve"),
          std::pair("rerankers", "rerank")}) {
        plan.pools.push_back(
            service_pool(options, name, model_pool_members, kind, 2));
    }
    return plan;
}

} // namespace

auto grua_norte_plan(const plan_options& options) -> cluster_plan
{
    auto plan = base_plan(options, "cantabrico");
    plan.declarations = "examples/grua-norte";
    plan.pools.push_back(engine_pool(options, "tiller-pool", 12));
    plan.pools.push_back(service_pool(options, "gang-desk", 3, "call", 2));
    plan.pools.push_back(service_pool(options, "vessel-feed", 3, "call", 4));
    plan.pools.push_back(service_pool(options, "yard-map", 5, "call", 4));
    plan.pools.push_back(service_pool(options, "terminal-auth", 5, "call", 4));
    return plan;
}

auto ikaze_plan(const plan_options& options) -> cluster_plan
{
    auto plan = base_plan(options, "kigali");
    plan.declarations = "examples/ikaze";
    plan.pools.push_back(engine_pool(options, "almond-pool", 20));
    plan.pools.push_back(service_pool(options, "dealer-desk", 3, "call", 2));
    plan.pools.push_back(service_pool(options, "buyer-portal", 5, "call", 4));
    plan.pools.push_back(service_pool(options, "workshop-log", 5, "call", 4));
    plan.pools.push_back(
        service_pool(options, "member-accounts", 5, "call", 4));
    return plan;
}

} // namespace almondtiller::harness
