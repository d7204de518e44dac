#include "api/run_answer.h"

#include <nlohmann/json.hpp>

namespace almondtiller::api {

namespace {

auto stages_json(const std::vector<stage_summary>& stages) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& stage : stages) {
        const auto time =
            std::chrono::duration<double, std::milli>(stage.time).count();
        list.push_back({{"name", stage.name.str()},
                        {"upstream", stage.upstream.str()},
                        {"attempts", stage.attempts},
                        {"ms", time}});
    }
    return list;
}

} // namespace

auto to_json(const run_answer& answer) -> std::string
{
    const auto envelope = nlohmann::json{
        {"request", answer.request.str()},
        {"outcome", "complete"},
        {"tokens", answer.tokens},
        {"replayed", answer.replayed},
        {"stages", stages_json(answer.stages)},
    };
    auto text = envelope.dump();
    text.pop_back();
    text += ",\"output\":" + answer.output + "}";
    return text;
}

auto mark_replayed(const std::string& answer) -> std::string
{
    auto document = nlohmann::json::parse(answer, nullptr, false);
    if (!document.is_object()) {
        return answer;
    }
    document["replayed"] = true;
    return document.dump();
}

} // namespace almondtiller::api
