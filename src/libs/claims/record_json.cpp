#include "claims/record_json.h"

#include <nlohmann/json.hpp>

namespace almondtiller::claims {

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

} // namespace almondtiller::claims
