#include "settings/settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace almondtiller::settings {

namespace {

constexpr auto valid_tree = R"({
    "root": {"default_deadline": "3s"},
    "zones": {"kigali-a": {"region": "kigali"}, "kigali-b": {}},
    "pools": {"engines": {"models": ["small"]}, "desk": {}},
    "workspaces": {"huye": {"weight": 2}},
    "pipelines": {
        "chat": {"stages": [{"name": "reply", "kind": "generate",
                             "pool": "engines", "model": "small"}]},
        "order": {"stages": [{"name": "order", "kind": "call",
                              "pool": "desk", "idempotent": false,
                              "max_attempts": 1}]}}})";

/// A JSON merge patch (RFC 7386) that makes the valid tree invalid, and the
/// findings that validation must report for it.
struct broken_case
{
    const char* patch;
    std::vector<std::string> lines;
};

auto lines_of(const std::string& patch) -> std::vector<std::string>
{
    auto document = nlohmann::json::parse(valid_tree);
    document.merge_patch(nlohmann::json::parse(patch));
    auto lines = std::vector<std::string>();
    for (const auto& found : validate(declaration_tree(document))) {
        lines.push_back(to_string(found));
    }
    return lines;
}

const auto broken_cases = std::vector<broken_case>{
    {R"({"pool": {}})",
     {"pool: found the key pool, allowed is a known name, the nearest is "
      "pools [unknown_key]"}},
    {R"({"pools": 3})",
     {"pools: found 3, allowed is an object [wrong_type]",
      "pipelines/chat/stages/reply/pool: found the pool engines, allowed is "
      "nothing, as none is declared [missing_reference]",
      "pipelines/order/stages/order/pool: found the pool desk, allowed is "
      "nothing, as none is declared [missing_reference]"}},
    {R"({"root": {"max_atempts": 2}})",
     {"root/max_atempts: found the key max_atempts, allowed is a known name, "
      "the nearest is max_attempts [unknown_key]"}},
    {R"({"pools": {"desk": {"queue_limits": 2}}})",
     {"pools/desk/queue_limits: found the key queue_limits, allowed is a "
      "known name, the nearest is queue_limit [unknown_key]"}},
    {R"({"pools": {"desk": {"weight": 2}}})",
     {"pools/desk/weight: found the key weight, allowed is at these levels: "
      "root, workspace [unknown_key]"}},
    {R"({"root": {"pool": "desk"}})",
     {"root/pool: found the key pool, allowed is at these levels: stage "
      "[unknown_key]"}},
    {R"({"workspaces": {"huye": {"gossip_interval": "1s"}}})",
     {"workspaces/huye/gossip_interval: found the key gossip_interval, "
      "allowed is at these levels: root [unknown_key]"}},
    {R"({"pools": {"desk": {"queue_limit": "10"}}})",
     {"pools/desk/queue_limit: found \"10\", allowed is an integer from 1 to "
      "65536 [wrong_type]"}},
    {R"({"pools": {"desk": {"queue_limit": 2.5}}})",
     {"pools/desk/queue_limit: found 2.5, allowed is an integer from 1 to "
      "65536 [wrong_type]"}},
    {R"({"pools": {"desk": {"queue_limit": 0}}})",
     {"pools/desk/queue_limit: found 0, allowed is an integer from 1 to 65536 "
      "[out_of_range]"}},
    {R"({"pools": {"desk": {"queue_limit": -4}}})",
     {"pools/desk/queue_limit: found -4, allowed is an integer from 1 to "
      "65536 [out_of_range]"}},
    {R"({"pools": {"desk": {"queue_limit": 99999999999}}})",
     {"pools/desk/queue_limit: found 99999999999, allowed is an integer from "
      "1 to 65536 [out_of_range]"}},
    {R"({"pools": {"desk": {"retry_ratio": 0.5}}})",
     {"pools/desk/retry_ratio: found 0.5, allowed is a number from 0.0 to 0.2 "
      "[out_of_range]"}},
    {R"({"pools": {"desk": {"retry_ratio": "20%"}}})",
     {"pools/desk/retry_ratio: found \"20%\", allowed is a number from 0.0 to "
      "0.2 [wrong_type]"}},
    {R"({"root": {"default_deadline": "3 seconds"}})",
     {"root/default_deadline: found \"3 seconds\", allowed is a duration from "
      "10ms to 1h, like \"250ms\" [wrong_type]"}},
    {R"({"root": {"default_deadline": 3}})",
     {"root/default_deadline: found 3, allowed is a duration from 10ms to 1h, "
      "like \"250ms\" [wrong_type]"}},
    {R"({"root": {"default_deadline": "-3s"}})",
     {"root/default_deadline: found \"-3s\", allowed is a duration from 10ms "
      "to 1h, like \"250ms\" [wrong_type]"}},
    {R"({"root": {"gossip_interval": "1m"}})",
     {"root/gossip_interval: found \"1m\", allowed is a duration from 50ms to "
      "10s, like \"250ms\" [out_of_range]"}},
    {R"({"zones": {"kigali-a": {"state": "off"}}})",
     {"zones/kigali-a/state: found \"off\", allowed is one of in, out "
      "[out_of_range]"}},
    {R"({"zones": {"kigali-a": {"region": "ki gali"}}})",
     {"zones/kigali-a/region: found \"ki gali\", allowed is a name of letters, "
      "digits, '.', '_' and '-' [out_of_range]"}},
    {R"({"pools": {"engines": {"models": "small"}}})",
     {"pools/engines/models: found \"small\", allowed is a list of names "
      "[wrong_type]"}},
    {R"({"workspaces": {"dépôt": {}}})",
     {"workspaces/dépôt: found the name dépôt, allowed is a name of letters, "
      "digits, '.', '_' and '-' [out_of_range]"}},
    {R"({"workspaces": {"huye": []}})",
     {"workspaces/huye: found [], allowed is an object [wrong_type]"}},
    {R"({"pipelines": {"chat": {"stages": null}}})",
     {"pipelines/chat/stages: found 0 stages, allowed is a list of 1 to 12 "
      "stages [out_of_range]"}},
    {R"({"pipelines": {"chat": {"stages": [{"kind": "call"}]}}})",
     {"pipelines/chat/stages/0/name: found nothing, allowed is a name of "
      "letters, digits, '.', '_' and '-' [missing_setting]",
      "pipelines/chat/stages/0/pool: found nothing, allowed is a name of "
      "letters, digits, '.', '_' and '-' [missing_setting]"}},
    {R"({"pipelines": {"chat": {"stages": [
        {"name": "a", "kind": "embed", "pool": "desk"}]}}})",
     {"pipelines/chat/stages/a/kind: found \"embed\", allowed is one of "
      "encode, retrieve, rerank, generate, call [out_of_range]"}},
    {R"({"pipelines": {"chat": {"stages": [
        {"name": "a", "kind": "call", "pool": "dest"}]}}})",
     {"pipelines/chat/stages/a/pool: found the pool dest, allowed is a known "
      "name, the nearest is desk [missing_reference]"}},
    {R"({"pipelines": {"chat": {"stages": [
        {"name": "a", "kind": "generate", "pool": "engines",
         "model": "smal"}]}}})",
     {"pipelines/chat/stages/a/model: found the model smal, allowed is a "
      "known name, the nearest is small [missing_reference]"}},
    {R"({"pipelines": {"chat": {"stages": [
        {"name": "a", "kind": "call", "pool": "desk"},
        {"name": "a", "kind": "call", "pool": "desk"}]}}})",
     {"pipelines/chat/stages/a: found two stages of that name, allowed is one "
      "[duplicate_declaration]"}},
    {R"({"pipelines": {"chat": {"stages": [
        {"name": "a", "kind": "call", "pool": "desk", "min_budget": "2s"},
        {"name": "b", "kind": "call", "pool": "desk", "min_budget": "2s"}]}}})",
     {"pipelines/chat/stages: found stages that need 4s by min_budget, "
      "allowed is at most default_deadline, 3s [inconsistent]"}},
    {R"({"pipelines": {"chat": {"max_deadline": "1s"}}})",
     {"pipelines/chat/default_deadline: found 3s, allowed is at most "
      "max_deadline, 1s [inconsistent]"}},
    {R"({"pipelines": {"order": {"stages": [
        {"name": "a", "kind": "call", "pool": "desk",
         "idempotent": false}]}}})",
     {"pipelines/order/stages/a/max_attempts: found 3, allowed is 1, as the "
      "stage is not idempotent [inconsistent]"}},
    {R"({"pipelines": {"order": {"stages": [
        {"name": "a", "kind": "call", "pool": "desk", "idempotent": false,
         "max_attempts": 1, "hedge": true}]}}})",
     {"pipelines/order/stages/a/hedge: found true, allowed is false, as the "
      "stage is not idempotent [inconsistent]"}},
    {R"({"pools": {"desk": {"min_concurrency": 9, "max_concurrency": 8}}})",
     {"pools/desk/min_concurrency: found 9, allowed is at most "
      "max_concurrency, 8 [inconsistent]"}},
    {R"({"zones": {"kigali-a": {"state": "out"},
                   "kigali-b": {"state": "out"}}})",
     {"zones: found every availability zone out, allowed is one zone in, "
      "unless --force is given [inconsistent]"}},
    {R"({"root": {"leave_delay": "2s"}})",
     {"root/leave_delay: found 2s, allowed is more than endpoint_lifetime, 2s "
      "[inconsistent]"}},
};

} // namespace

TEST(validate, accepts_a_valid_tree)
{
    EXPECT_EQ(lines_of("{}"), std::vector<std::string>());
}

TEST(validate, reports_each_broken_declaration_exactly)
{
    for (const auto& broken : broken_cases) {
        EXPECT_EQ(lines_of(broken.patch), broken.lines) << broken.patch;
    }
}

TEST(validate, reports_every_error_at_once)
{
    auto document = nlohmann::json::parse(valid_tree);
    document["pools"]["desk"]["queue_limit"] = 0;
    document["pools"]["desk"]["cold"] = 1;
    document["workspaces"]["huye"]["weight"] = "two";
    EXPECT_EQ(validate(declaration_tree(document)).size(), 3U);
}

} // namespace almondtiller::settings
