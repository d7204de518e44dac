#include "api/api.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace almondtiller::api {

namespace {

auto error_of(std::string_view body) -> std::error_code
{
    const auto parsed = parse_run_request(body);
    return parsed ? std::error_code() : parsed.error();
}

auto valid_body() -> nlohmann::json
{
    return {{"workspace", "w"},
            {"pipeline", "p"},
            {"deadline_ms", 1500},
            {"priority", "interactive"},
            {"idempotency_key", "k"},
            {"stream", true},
            {"input", {{"text", "draft"}}}};
}

} // namespace

TEST(run_request, reads_every_member)
{
    const auto parsed = parse_run_request(valid_body().dump());
    ASSERT_TRUE(parsed);
    auto expected = run_request();
    expected.workspace = core::workspace_name("w");
    expected.pipeline = core::pipeline_name("p");
    expected.deadline = core::milliseconds(1500);
    expected.priority = request_priority::interactive;
    expected.idempotency_key = "k";
    expected.stream = true;
    expected.input = R"({"text":"draft"})";
    EXPECT_EQ(parsed.value(), expected);
}

TEST(run_request, rejects_invalid_members_with_a_typed_code)
{
    const auto changed = [](const char* name, const nlohmann::json& value) {
        auto body = valid_body();
        body[name] = value;
        return error_of(body.dump());
    };
    EXPECT_EQ(error_of("{"), api_errc::malformed_json);
    EXPECT_EQ(error_of("[]"), api_errc::malformed_json);
    EXPECT_EQ(error_of(std::string(100000, '[')), api_errc::malformed_json);
    EXPECT_EQ(error_of("{}"), api_errc::missing_member);
    EXPECT_EQ(changed("workspace", ""), api_errc::missing_member);
    EXPECT_EQ(changed("pipeline", 7), api_errc::wrong_type);
    EXPECT_EQ(changed("deadline_ms", -1), api_errc::invalid_deadline);
    EXPECT_EQ(changed("deadline_ms", 0), api_errc::invalid_deadline);
    EXPECT_EQ(changed("deadline_ms", 1.5), api_errc::invalid_deadline);
    EXPECT_EQ(changed("deadline_ms", ~std::uint64_t(0)),
              api_errc::invalid_deadline);
    EXPECT_EQ(changed("priority", "urgent"), api_errc::invalid_priority);
    EXPECT_EQ(changed("idempotency_key", ""),
              api_errc::invalid_idempotency_key);
    EXPECT_EQ(changed("idempotency_key", std::string(257, 'k')),
              api_errc::invalid_idempotency_key);
    EXPECT_EQ(changed("stream", 1), api_errc::wrong_type);
}

RC_GTEST_PROP(run_request, arbitrary_bytes_are_parsed_or_rejected,
              (const std::string& body))
{
    const auto parsed = parse_run_request(body);
    if (!parsed) {
        RC_ASSERT(parsed.error().category() == api_category());
    }
}

RC_GTEST_PROP(run_request, mutated_bodies_are_parsed_or_rejected, ())
{
    auto body = valid_body().dump();
    const auto mutations = *rc::gen::inRange(1, 8);
    for (auto step = 0; step < mutations; ++step) {
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            body[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            body.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
            break;
        default:
            body.insert(at, body.substr(at / 2));
        }
        body += body.empty() ? " " : "";
    }
    const auto parsed = parse_run_request(body);
    if (parsed) {
        RC_ASSERT(!parsed.value().workspace.empty());
        RC_ASSERT(nlohmann::json::accept(parsed.value().input));
    } else {
        RC_ASSERT(parsed.error().category() == api_category());
    }
}

TEST(problem, is_a_problem_document)
{
    auto described = problem();
    described.code = api_errc::upstream_failed;
    described.outcome = failed_outcome::partial;
    described.request = core::request_id("r");
    described.retry_after = core::milliseconds(1200);
    const auto document = nlohmann::json::parse(to_json(described));
    EXPECT_EQ(document["status"], 502);
    EXPECT_EQ(document["code"], "upstream_failed");
    EXPECT_EQ(document["outcome"], "partial");
    EXPECT_EQ(document["retry_after_ms"], 1200);
    EXPECT_EQ(retry_after_seconds(described), 2);
}

TEST(run_answer, marks_a_recorded_answer_as_replayed)
{
    auto answer = run_answer();
    answer.output = R"({"a":[1,2]})";
    answer.tokens = 3;
    const auto text = to_json(answer);
    EXPECT_FALSE(nlohmann::json::parse(text)["replayed"].get<bool>());
    const auto replayed = nlohmann::json::parse(mark_replayed(text));
    EXPECT_TRUE(replayed["replayed"].get<bool>());
    EXPECT_EQ(replayed["output"]["a"][1], 2);
}

} // namespace almondtiller::api
