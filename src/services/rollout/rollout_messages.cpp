#include "services/rollout/rollout_messages.h"

#include "fleet/fleet_errc.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <utility>

namespace almondtiller::rollout {

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

auto duration_from_json(const json& value) -> core::duration
{
    return core::duration(value.get<core::duration::rep>());
}

auto to_json(const order& value) -> json
{
    return json::array(
        {value.service.str(), value.to, value.duration.count(), value.created});
}

auto order_from_json(const json& value) -> order
{
    return {serving::service_name(value.at(0).get<std::string>()),
            value.at(1).get<std::string>(), duration_from_json(value.at(2)),
            value.at(3).get<std::int64_t>()};
}

auto to_json(const directive& value) -> json
{
    return json::array({value.number, int(value.phase), value.share,
                        value.extra_per_second, value.upstreams});
}

auto directive_from_json(const json& value) -> directive
{
    const auto phase = value.at(1).get<int>();
    if (phase < int(phase::observing) || phase > int(phase::rolled_back)) {
        return {};
    }
    return {value.at(0).get<std::uint64_t>(), rollout::phase(phase),
            value.at(2).get<double>(), value.at(3).get<double>(),
            value.at(4).get<std::uint32_t>()};
}

/// Most buckets are empty, so only the others are sent.
auto to_json(const duration_histogram& histogram) -> json
{
    auto buckets = json::array();
    for (auto at = std::size_t(0); at < duration_histogram::bucket_count;
         ++at) {
        if (const auto count = histogram.count_at(at); count > 0) {
            buckets.push_back(at);
            buckets.push_back(count);
        }
    }
    return buckets;
}

auto histogram_from_json(const json& buckets) -> duration_histogram
{
    auto histogram = duration_histogram();
    for (auto at = std::size_t(0); at + 1 < buckets.size(); at += 2) {
        const auto bucket = buckets.at(at).get<std::size_t>();
        if (bucket < duration_histogram::bucket_count) {
            histogram.add(bucket, buckets.at(at + 1).get<std::uint32_t>());
        }
    }
    return histogram;
}

auto to_json(const std::map<sample_key, answer_counts>& counts) -> json
{
    auto list = json::array();
    for (const auto& [key, counted] : counts) {
        list.push_back(json::array({key.route, key.zone.str(), key.is_new,
                                    counted.answered, counted.failed,
                                    to_json(counted.durations),
                                    to_json(counted.lifetimes)}));
    }
    return list;
}

auto counts_from_json(const json& list) -> std::map<sample_key, answer_counts>
{
    auto counts = std::map<sample_key, answer_counts>();
    for (const auto& entry : list) {
        auto& counted = counts[{entry.at(0).get<std::string>(),
                                core::zone_name(entry.at(1).get<std::string>()),
                                entry.at(2).get<bool>()}];
        counted.answered = entry.at(3).get<std::uint64_t>();
        counted.failed = entry.at(4).get<std::uint64_t>();
        counted.durations = histogram_from_json(entry.at(5));
        counted.lifetimes = histogram_from_json(entry.at(6));
    }
    return counts;
}

} // namespace

auto encode(const report_message& message) -> std::string
{
    const auto& report = message.report;
    return pack(json::array(
        {to_json(message.order), report.node.str(), report.incarnation,
         report.order_age.count(), to_json(report.applied), report.sent,
         report.sent_new, report.open_at_old, to_json(report.counts)}));
}

auto decode_report(std::string_view body) -> core::result<report_message>
{
    return unpack<report_message>(body, [](const json& value) {
        auto message = report_message();
        message.order = order_from_json(value.at(0));
        auto& report = message.report;
        report.node = core::node_id(value.at(1).get<std::string>());
        report.incarnation = value.at(2).get<std::string>();
        report.order_age = duration_from_json(value.at(3));
        report.applied = directive_from_json(value.at(4));
        report.sent = value.at(5).get<std::uint64_t>();
        report.sent_new = value.at(6).get<std::uint64_t>();
        report.open_at_old = value.at(7).get<std::uint32_t>();
        report.counts = counts_from_json(value.at(8));
        return message;
    });
}

auto encode(const directive& value) -> std::string
{
    return pack(to_json(value));
}

auto decode_directive(std::string_view body) -> core::result<directive>
{
    return unpack<directive>(body, directive_from_json);
}

} // namespace almondtiller::rollout
