#include "services/gateway/crash_messages.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::gateway {

namespace {

using json = nlohmann::json;

auto age_ms(core::time_point at, core::time_point now) -> std::int64_t
{
    return std::chrono::duration_cast<core::milliseconds>(now - at).count();
}

auto time_before(const json& age, core::time_point now) -> core::time_point
{
    return now - core::milliseconds(age.get<std::int64_t>());
}

auto part_to_json(const dispatch::known_part& suspect, core::time_point now)
    -> json
{
    auto entry = json::array({suspect.part});
    if (suspect.answered_at) {
        entry.push_back(age_ms(*suspect.answered_at, now));
    }
    return entry;
}

auto part_from_json(const json& entry, core::time_point now)
    -> dispatch::known_part
{
    auto suspect = dispatch::known_part();
    suspect.part = entry.at(0).get<std::uint64_t>();
    if (entry.size() > 1) {
        suspect.answered_at = time_before(entry.at(1), now);
    }
    return suspect;
}

auto parts_to_json(const std::vector<dispatch::known_part>& parts,
                   core::time_point now) -> json
{
    auto list = json::array();
    for (const auto& part : parts) {
        list.push_back(part_to_json(part, now));
    }
    return list;
}

auto parts_from_json(const json& list, core::time_point now)
    -> std::vector<dispatch::known_part>
{
    auto parts = std::vector<dispatch::known_part>();
    for (const auto& entry : list) {
        parts.push_back(part_from_json(entry, now));
    }
    return parts;
}

auto crash_to_json(const dispatch::upstream_crash& crash, core::time_point now)
    -> json
{
    auto requests = json::array();
    for (const auto& request : crash.requests) {
        requests.push_back(parts_to_json(request, now));
    }
    return json::array({crash.upstream.str(), age_ms(crash.at, now), requests});
}

auto crash_from_json(const json& entry, core::time_point now)
    -> dispatch::upstream_crash
{
    auto crash = dispatch::upstream_crash();
    crash.upstream = core::upstream_id(entry.at(0).get<std::string>());
    crash.at = time_before(entry.at(1), now);
    for (const auto& request : entry.at(2)) {
        crash.requests.push_back(parts_from_json(request, now));
    }
    return crash;
}

} // namespace

auto encode(const crash_message& message, core::time_point now) -> std::string
{
    const auto value = json::array(
        {message.crash ? crash_to_json(*message.crash, now) : json(),
         parts_to_json(message.answered, now),
         parts_to_json(message.fingerprints, now),
         parts_to_json(message.answered_fingerprints, now)});
    auto bytes = std::string();
    json::to_msgpack(value, bytes);
    return bytes;
}

auto decode_crash(std::string_view body, core::time_point now)
    -> core::result<crash_message>
{
    try {
        const auto value = json::from_msgpack(body.begin(), body.end());
        auto message = crash_message();
        if (!value.at(0).is_null()) {
            message.crash = crash_from_json(value.at(0), now);
        }
        message.answered = parts_from_json(value.at(1), now);
        // Earlier versions of the program do not send these fields.
        constexpr auto fingerprints_index = std::size_t(2);
        constexpr auto answered_index = std::size_t(3);
        if (value.size() > answered_index) {
            message.fingerprints =
                parts_from_json(value.at(fingerprints_index), now);
            message.answered_fingerprints =
                parts_from_json(value.at(answered_index), now);
        }
        return message;
    } catch (const json::exception&) {
        return make_error_code(fleet::fleet_errc::malformed_message);
    }
}

} // namespace almondtiller::gateway
