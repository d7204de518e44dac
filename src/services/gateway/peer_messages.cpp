#include "services/gateway/peer_messages.h"

#include "fleet/fleet_errc.h"
#include "services/gateway/work_json.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <utility>

namespace almondtiller::gateway {

namespace {

using json = nlohmann::json;

auto pack(const json& value) -> std::string
{
    auto bytes = std::string();
    json::to_msgpack(value, bytes);
    return bytes;
}

/// Decodes \a body with \a read. Fails with fleet_errc::malformed_message if
/// the message does not have the form that \a read expects.
template <typename T>
auto unpack(std::string_view body, const std::function<T(const json&)>& read)
    -> core::result<T>
{
    try {
        return read(json::from_msgpack(body.begin(), body.end()));
    } catch (const json::exception&) {
        return make_error_code(fleet::fleet_errc::malformed_message);
    }
}

auto endpoint_from_json(const json& value) -> core::endpoint
{
    return core::parse_endpoint(value.get<std::string>())
        .value_or(core::endpoint());
}

auto limit_to_json(std::optional<double> per_second) -> json
{
    return per_second ? json(*per_second) : json();
}

auto limit_from_json(const json& value) -> std::optional<double>
{
    return value.is_null() ? std::nullopt : std::optional(value.get<double>());
}

} // namespace

auto encode(const node_status& status) -> std::string
{
    auto numbers = json::array();
    auto eras = json::array();
    for (const auto& revision : status.revisions) {
        numbers.push_back(revision.number);
        eras.push_back(revision.era);
    }
    return pack(json::array(
        {status.is_ready, core::to_text(status.front), status.zone.str(),
         std::move(numbers), status.capacity.cores, status.capacity.link_mbps,
         status.configuration, status.incarnation, status.quarantined,
         status.quarantined_requests, std::move(eras)}));
}

auto decode_status(std::string_view body) -> core::result<node_status>
{
    return unpack<node_status>(body, [](const json& value) {
        auto status = node_status();
        status.is_ready = value.at(0).get<bool>();
        status.front = endpoint_from_json(value.at(1));
        status.zone = core::zone_name(value.at(2).get<std::string>());
        for (const auto& number : value.at(3)) {
            status.revisions.push_back({0, number.get<std::int64_t>()});
        }
        status.capacity.cores = value.at(4).get<double>();
        status.capacity.link_mbps = value.at(5).get<double>();
        // Earlier versions of the program do not send these fields.
        constexpr auto configuration_index = std::size_t(6);
        constexpr auto incarnation_index = std::size_t(7);
        constexpr auto quarantined_index = std::size_t(8);
        constexpr auto quarantined_requests_index = std::size_t(9);
        constexpr auto eras_index = std::size_t(10);
        if (value.size() > eras_index) {
            const auto& eras = value.at(eras_index);
            for (auto kind = std::size_t(0); kind < status.revisions.size();
                 ++kind) {
                status.revisions[kind].era = eras.at(kind).get<std::int64_t>();
            }
        }
        if (value.size() > configuration_index) {
            status.configuration =
                value.at(configuration_index).get<std::int64_t>();
        }
        if (value.size() > incarnation_index) {
            status.incarnation = value.at(incarnation_index).get<std::string>();
        }
        if (value.size() > quarantined_index) {
            status.quarantined =
                value.at(quarantined_index).get<dispatch::part_hashes>();
        }
        if (value.size() > quarantined_requests_index) {
            status.quarantined_requests = value.at(quarantined_requests_index)
                                              .get<dispatch::part_hashes>();
        }
        return status;
    });
}

auto encode(const stage_message& message, core::time_point now) -> std::string
{
    auto value = to_json(message.work, now);
    value["service"] = message.service.str();
    return pack(value);
}

auto decode_stage(std::string_view body, core::time_point now)
    -> core::result<stage_message>
{
    return unpack<stage_message>(body, [now](const json& value) {
        return stage_message{
            serving::service_name(value.at("service").get<std::string>()),
            stage_work_from_json(value, now)};
    });
}

auto encode(const dispatch::stage_outcome& outcome) -> std::string
{
    return pack(json::array(
        {int(outcome.status), outcome.handles, outcome.retry_after.count()}));
}

auto decode_stage_outcome(std::string_view body)
    -> core::result<dispatch::stage_outcome>
{
    return unpack<dispatch::stage_outcome>(body, [](const json& value) {
        auto outcome = dispatch::stage_outcome();
        outcome.status = dispatch::stage_status(value.at(0).get<int>());
        outcome.handles = value.at(1).get<std::vector<std::string>>();
        outcome.retry_after =
            core::milliseconds(value.at(2).get<std::int64_t>());
        return outcome;
    });
}

auto encode(const place_message& message, core::time_point now) -> std::string
{
    return pack({{"service", message.service.str()},
                 {"request", to_json(message.request, now)},
                 {"at", message.placed_at.str()}});
}

auto decode_place(std::string_view body, core::time_point now)
    -> core::result<place_message>
{
    return unpack<place_message>(body, [now](const json& value) {
        auto message = place_message();
        message.service =
            serving::service_name(value.at("service").get<std::string>());
        message.request = request_from_json(value.at("request"), now);
        message.placed_at =
            core::upstream_id(value.at("at").get<std::string>());
        return message;
    });
}

auto encode(const dispatch::placement_outcome& outcome) -> std::string
{
    const auto& upstream = outcome.upstream;
    return pack(json::array({int(outcome.status), outcome.retry_after.count(),
                             upstream.id.str(), core::to_text(upstream.address),
                             upstream.zone.str(), upstream.service.str(),
                             limit_to_json(outcome.request_limit)}));
}

auto decode_placement_outcome(std::string_view body)
    -> core::result<dispatch::placement_outcome>
{
    return unpack<dispatch::placement_outcome>(body, [](const json& value) {
        auto outcome = dispatch::placement_outcome();
        outcome.status = dispatch::placement_status(value.at(0).get<int>());
        outcome.retry_after =
            core::milliseconds(value.at(1).get<std::int64_t>());
        outcome.upstream.id = core::upstream_id(value.at(2).get<std::string>());
        outcome.upstream.address = endpoint_from_json(value.at(3));
        outcome.upstream.zone = core::zone_name(value.at(4).get<std::string>());
        outcome.upstream.service =
            serving::service_name(value.at(5).get<std::string>());
        // Earlier versions of the program do not send the limit.
        constexpr auto limit_index = std::size_t(6);
        if (value.size() > limit_index) {
            outcome.request_limit = limit_from_json(value.at(limit_index));
        }
        return outcome;
    });
}

auto encode(const free_message& message) -> std::string
{
    return pack(json::array({message.service.str(), message.handles}));
}

auto decode_free(std::string_view body) -> core::result<free_message>
{
    return unpack<free_message>(body, [](const json& value) {
        return free_message{
            serving::service_name(value.at(0).get<std::string>()),
            value.at(1).get<std::vector<std::string>>()};
    });
}

} // namespace almondtiller::gateway
