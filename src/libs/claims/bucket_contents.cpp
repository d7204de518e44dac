#include "claims/bucket_contents.h"

#include "claims/record_json.h"
#include "platform/platform_errc.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace almondtiller::claims {

using nlohmann::json;

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
