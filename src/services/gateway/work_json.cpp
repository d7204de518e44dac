#include "services/gateway/work_json.h"

#include <cmath>
#include <utility>

namespace almondtiller::gateway {

namespace {

using json = nlohmann::json;

auto item_to_json(const serving::stage_item& item) -> json
{
    return json::array(
        {item.request.str(), item.stage, item.piece, item.key, item.inputs});
}

auto item_from_json(const json& value) -> serving::stage_item
{
    auto item = serving::stage_item();
    item.request = core::request_id(value.at(0).get<std::string>());
    item.stage = value.at(1).get<std::uint32_t>();
    item.piece = value.at(2).get<std::uint32_t>();
    item.key = value.at(3).get<std::string>();
    item.inputs = value.at(4).get<std::vector<std::string>>();
    return item;
}

auto prompt_to_json(const std::vector<serving::prompt_part>& prompt) -> json
{
    auto list = json::array();
    for (const auto& part : prompt) {
        list.push_back(json::array({part.id, part.tokens}));
    }
    return list;
}

/// Adds the workspace of \a work, if it has one, to its message.
template <typename Work>
auto add_workspace(json& message, const Work& work) -> void
{
    if (!work.workspace.empty()) {
        message["workspace"] = work.workspace.str();
        message["weight"] = work.weight;
    }
}

/// Earlier versions of the program send neither workspace nor weight.
template <typename Work>
auto read_workspace(const json& message, Work& work) -> void
{
    work.workspace =
        core::workspace_name(message.value("workspace", std::string()));
    const auto weight = message.value("weight", 1.0);
    work.weight = std::isfinite(weight) && weight > 0 ? weight : 1;
}

} // namespace

auto remaining_ms(core::time_point at, core::time_point now) -> std::int64_t
{
    return std::chrono::duration_cast<core::milliseconds>(at - now).count();
}

auto time_after(const json& remaining, core::time_point now) -> core::time_point
{
    return now + core::milliseconds(remaining.get<std::int64_t>());
}

auto to_json(const dispatch::placement_request& request, core::time_point now)
    -> json
{
    auto inputs = json::array();
    for (const auto& input : request.inputs) {
        inputs.push_back(json::array({input.zone.str(), input.bytes}));
    }
    auto excluded = json::array();
    for (const auto& id : request.excluded) {
        excluded.push_back(id.str());
    }
    auto value = json{{"id", request.request.str()},
                      {"zone", request.zone.str()},
                      {"prompt", prompt_to_json(request.prompt)},
                      {"output", request.output_tokens},
                      {"inputs", inputs},
                      {"excluded", excluded},
                      {"due", remaining_ms(request.due, now)},
                      {"deadline", remaining_ms(request.deadline, now)},
                      {"priority", request.priority},
                      {"repeat", request.is_retry}};
    add_workspace(value, request);
    return value;
}

auto request_from_json(const json& value, core::time_point now)
    -> dispatch::placement_request
{
    auto request = dispatch::placement_request();
    request.request = core::request_id(value.at("id").get<std::string>());
    // Earlier versions of the program have one owner per service and send no
    // zone.
    request.zone = core::zone_name(value.value("zone", std::string()));
    for (const auto& part : value.at("prompt")) {
        request.prompt.push_back(
            {part.at(0).get<std::string>(), part.at(1).get<std::uint32_t>()});
    }
    request.output_tokens = value.at("output").get<std::uint32_t>();
    for (const auto& input : value.at("inputs")) {
        request.inputs.push_back(
            {core::zone_name(input.at(0).get<std::string>()),
             input.at(1).get<std::uint64_t>()});
    }
    for (const auto& id : value.at("excluded")) {
        request.excluded.emplace_back(id.get<std::string>());
    }
    request.due = time_after(value.at("due"), now);
    request.deadline = time_after(value.at("deadline"), now);
    request.priority = value.at("priority").get<int>();
    request.is_retry = value.at("repeat").get<bool>();
    read_workspace(value, request);
    return request;
}

auto to_json(const dispatch::stage_work& work, core::time_point now) -> json
{
    auto items = json::array();
    for (const auto& item : work.items) {
        items.push_back(item_to_json(item));
    }
    auto value = json{{"items", items},
                      {"due", remaining_ms(work.due, now)},
                      {"deadline", remaining_ms(work.deadline, now)},
                      {"priority", work.priority},
                      {"zone", work.zone.str()},
                      {"bytes", work.result_bytes},
                      {"transfer", work.transfer_bytes}};
    add_workspace(value, work);
    return value;
}

auto stage_work_from_json(const json& value, core::time_point now)
    -> dispatch::stage_work
{
    auto work = dispatch::stage_work();
    for (const auto& item : value.at("items")) {
        work.items.push_back(item_from_json(item));
    }
    work.due = time_after(value.at("due"), now);
    work.deadline = time_after(value.at("deadline"), now);
    work.priority = value.at("priority").get<int>();
    work.zone = core::zone_name(value.at("zone").get<std::string>());
    work.result_bytes = value.at("bytes").get<std::uint64_t>();
    work.transfer_bytes = value.at("transfer").get<std::uint64_t>();
    read_workspace(value, work);
    return work;
}

} // namespace almondtiller::gateway
