#include "claims/bucket_contents.h"

#include "platform/platform_errc.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace almondtiller::claims {

namespace {

using nlohmann::json;

auto to_json(const claim_record& record) -> json
{
    auto item = json{{"c", record.claim},      {"f", record.fingerprint},
                     {"n", record.node},       {"i", record.incarnation},
                     {"s", int(record.state)}, {"t", record.claimed_at_ms}};
    if (!record.answer.empty()) {
        item["a"] = record.answer;
        item["o"] = record.answer_is_separate;
    }
    return item;
}

auto to_record(const json& item) -> claim_record
{
    auto record = claim_record();
    record.claim = item.at("c").get<std::string>();
    record.fingerprint = item.at("f").get<std::string>();
    record.node = item.at("n").get<std::string>();
    record.incarnation = item.at("i").get<std::uint64_t>();
    record.state = claim_state(item.at("s").get<int>());
    record.claimed_at_ms = item.at("t").get<std::int64_t>();
    record.answer = item.value("a", "");
    record.answer_is_separate = item.value("o", false);
    return record;
}

} // namespace

auto encode(const bucket_contents& contents) -> std::string
{
    auto records = json::object();
    for (const auto& [key, record] : contents.records) {
        records[key] = to_json(record);
    }
    return json{{"records", std::move(records)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

auto decode(const std::string& text) -> core::result<bucket_contents>
{
    try {
        auto contents = bucket_contents();
        const auto document = json::parse(text);
        for (const auto& [key, item] : document.at("records").items()) {
            contents.records.emplace(key, to_record(item));
        }
        return contents;
    } catch (const json::exception&) {
        return make_error_code(platform::platform_errc::malformed_answer);
    }
}

auto record_key(const std::string& workspace,
                const std::string& idempotency_key) -> std::string
{
    return std::to_string(workspace.size()) + ":" + workspace + idempotency_key;
}

auto bucket_of(const std::string& key, std::uint32_t bucket_count)
    -> std::uint32_t
{
    return std::uint32_t(XXH3_64bits(key.data(), key.size()) % bucket_count);
}

auto without_expired(bucket_contents contents, std::int64_t oldest_ms)
    -> bucket_contents
{
    std::erase_if(contents.records, [oldest_ms](const auto& entry) {
        return entry.second.claimed_at_ms < oldest_ms;
    });
    return contents;
}

} // namespace almondtiller::claims
