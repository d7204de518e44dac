#include "scenario.h"

namespace almondtiller::experiment {

namespace {

constexpr auto token_ms = 10.0;
constexpr auto engine_capacity = 2U;
constexpr auto redraft_tokens = 40U;
constexpr auto stream_tokens = 60U;

auto experiment_options() -> harness::plan_options
{
    auto options = harness::plan_options();
    options.token_ms = token_ms;
    options.engine_capacity = engine_capacity;
    return options;
}

auto request_of(const std::string& workspace, const std::string& pipeline,
                std::uint32_t tokens, core::milliseconds deadline)
    -> harness::call_request
{
    auto request = harness::call_request();
    request.workspace = workspace;
    request.pipeline = pipeline;
    request.answer_tokens = tokens;
    request.deadline = deadline;
    return request;
}

/// Requests a second that the engines bear, from the time that the mix's
/// average request holds a slot.
auto capacity_of(const std::vector<load::traffic_class>& classes,
                 std::uint32_t engines) -> double
{
    auto total = 0.0;
    auto busy_ms = 0.0;
    for (const auto& kind : classes) {
        total += kind.weight;
        busy_ms += kind.weight * token_ms * kind.request.answer_tokens;
    }
    constexpr auto ms_per_second = 1000.0;
    return engines * engine_capacity * ms_per_second / (busy_ms / total);
}

} // namespace

auto grua_norte_scenario() -> user_scenario
{
    auto scenario = user_scenario();
    scenario.name = "grua-norte";
    scenario.plan = harness::grua_norte_plan(experiment_options());
    auto commentary = request_of("bilbao-bulk", "vessel-commentary",
                                 stream_tokens, core::milliseconds(5000));
    commentary.stream = true;
    scenario.classes = {
        {"redraft",
         request_of("santurtzi-container", "berth-redraft", redraft_tokens,
                    core::milliseconds(3000)),
         true, 2.0},
        {"commentary", commentary, true, 1.0},
        {"lookup",
         request_of("axpe-general", "plan-lookup", 0, core::milliseconds(1000)),
         true, 2.0},
        {"confirmation",
         request_of("zierbena-ro-ro", "gang-confirmation", 0,
                    core::milliseconds(3000)),
         false, 1.0}};
    scenario.capacity = capacity_of(scenario.classes, 12);
    scenario.desk_pool = "gang-desk";
    return scenario;
}

auto ikaze_scenario() -> user_scenario
{
    auto scenario = user_scenario();
    scenario.name = "ikaze";
    scenario.plan = harness::ikaze_plan(experiment_options());
    auto chat = request_of("kigali-motorhomes", "buyer-chat", stream_tokens,
                           core::milliseconds(5000));
    chat.stream = true;
    scenario.classes = {{"summary",
                         request_of("kigali-motorhomes", "summarise-history",
                                    redraft_tokens, core::milliseconds(3000)),
                         true, 2.0},
                        {"chat", chat, true, 1.0},
                        {"lookup",
                         request_of("huye-caravans", "stock-lookup", 0,
                                    core::milliseconds(1000)),
                         true, 2.0},
                        {"deposit",
                         request_of("musanze-campers", "deposit-booking", 0,
                                    core::milliseconds(3000)),
                         false, 1.0}};
    scenario.capacity = capacity_of(scenario.classes, 20);
    scenario.desk_pool = "dealer-desk";
    return scenario;
}

} // namespace almondtiller::experiment
