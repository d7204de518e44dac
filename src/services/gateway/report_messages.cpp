#include "services/gateway/peer_messages.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::gateway {

namespace {

using json = nlohmann::json;

auto age_ms(core::time_point at, core::time_point now) -> std::int64_t
{
    return std::chrono::duration_cast<core::milliseconds>(now - at).count();
}

/// A limit is sent with its time as milliseconds from now, which is negative.
auto limit_to_json(const limit_report& limit, core::time_point now) -> json
{
    return json::array({limit.upstream.str(),
                        limit.per_second ? json(*limit.per_second) : json(),
                        -age_ms(limit.at, now)});
}

/// \return Nothing for a limit without an upstream, which only takes its place.
auto limit_from_json(const json& value, core::time_point now)
    -> std::optional<limit_report>
{
    auto limit = limit_report();
    limit.upstream = core::upstream_id(value.at(0).get<std::string>());
    if (limit.upstream.empty()) {
        return std::nullopt;
    }
    if (!value.at(1).is_null()) {
        limit.per_second = value.at(1).get<double>();
    }
    limit.at = now + core::milliseconds(value.at(2).get<std::int64_t>());
    return limit;
}

auto speed_to_json(const std::optional<speed_report>& speed,
                   core::time_point now) -> json
{
    return speed ? json::array({speed->upstream.str(), speed->stated.factor,
                                age_ms(speed->stated.at, now)})
                 : json();
}

auto speed_from_json(const json& value, core::time_point now)
    -> std::optional<speed_report>
{
    if (value.is_null()) {
        return std::nullopt;
    }
    // An older statement says nothing about the present.
    constexpr auto max_age_ms = std::int64_t(60000);
    const auto age = value.at(2).get<std::int64_t>();
    if (age < 0 || age > max_age_ms) {
        return std::nullopt;
    }
    return speed_report{
        core::upstream_id(value.at(0).get<std::string>()),
        {value.at(1).get<double>(), now - core::milliseconds(age)}};
}

auto event_time_from_json(const json& value) -> std::optional<core::duration>
{
    constexpr auto max_us = std::int64_t(60000000);
    const auto us = value.is_null() ? 0 : value.get<std::int64_t>();
    return us > 0 && us <= max_us
               ? std::optional<core::duration>(std::chrono::microseconds(us))
               : std::nullopt;
}

auto report_to_json(const report_message& message, core::time_point now) -> json
{
    auto entry = json::array({message.service.str(), message.request.str(),
                              message.is_started, message.is_ended,
                              int(message.how), message.leaving.str()});
    if (message.limit) {
        entry.push_back(limit_to_json(*message.limit, now));
    }
    if (message.speed || message.event_time) {
        if (!message.limit) {
            // Earlier versions of the program require a limit in this place.
            // One without an upstream changes nothing there.
            entry.push_back(json::array({"", json(), 0}));
        }
        entry.push_back(speed_to_json(message.speed, now));
        entry.push_back(
            message.event_time
                ? json(std::chrono::duration_cast<std::chrono::microseconds>(
                           *message.event_time)
                           .count())
                : json());
    }
    return entry;
}

auto report_from_json(const json& entry, core::time_point now) -> report_message
{
    // Earlier versions of the program send neither the leaving upstream, the
    // limit, the speed nor the time between events.
    constexpr auto leaving_index = std::size_t(5);
    constexpr auto limit_index = std::size_t(6);
    constexpr auto speed_index = std::size_t(7);
    constexpr auto event_time_index = std::size_t(8);
    auto message = report_message();
    message.service = serving::service_name(entry.at(0).get<std::string>());
    message.request = core::request_id(entry.at(1).get<std::string>());
    message.is_started = entry.at(2).get<bool>();
    message.is_ended = entry.at(3).get<bool>();
    message.how = dispatch::attempt_end(entry.at(4).get<int>());
    if (entry.size() > leaving_index) {
        message.leaving =
            core::upstream_id(entry.at(leaving_index).get<std::string>());
    }
    if (entry.size() > limit_index) {
        message.limit = limit_from_json(entry.at(limit_index), now);
    }
    if (entry.size() > speed_index) {
        message.speed = speed_from_json(entry.at(speed_index), now);
    }
    if (entry.size() > event_time_index) {
        message.event_time = event_time_from_json(entry.at(event_time_index));
    }
    return message;
}

} // namespace

auto encode(const std::vector<report_message>& messages, core::time_point now)
    -> std::string
{
    auto list = json::array();
    for (const auto& message : messages) {
        list.push_back(report_to_json(message, now));
    }
    auto bytes = std::string();
    json::to_msgpack(list, bytes);
    return bytes;
}

auto decode_reports(std::string_view body, core::time_point now)
    -> core::result<std::vector<report_message>>
{
    try {
        auto messages = std::vector<report_message>();
        for (const auto& entry : json::from_msgpack(body.begin(), body.end())) {
            messages.push_back(report_from_json(entry, now));
        }
        return messages;
    } catch (const json::exception&) {
        return make_error_code(fleet::fleet_errc::malformed_message);
    }
}

} // namespace almondtiller::gateway
