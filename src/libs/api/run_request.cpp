#include "api/run_request.h"

#include "api/api_errc.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondtiller::api {

namespace {

using nlohmann::json;

constexpr auto max_deadline = core::milliseconds(24 * 3600 * 1000);
constexpr auto max_depth = 64;

/// \return The maximum nesting depth of arrays and objects in a JSON text.
auto nesting_depth(std::string_view body) -> int
{
    auto depth = 0;
    auto deepest = 0;
    auto in_string = false;
    auto escaped = false;
    for (const auto character : body) {
        if (in_string) {
            in_string = escaped || character != '"';
            escaped = !escaped && character == '\\';
        } else if (character == '"') {
            in_string = true;
        } else if (character == '{' || character == '[') {
            deepest = std::max(deepest, ++depth);
        } else if (character == '}' || character == ']') {
            --depth;
        }
    }
    return deepest;
}

auto read_optional_text(const json& document, const char* name)
    -> core::result<std::string>
{
    const auto found = document.find(name);
    if (found == document.end()) {
        return std::string();
    }
    if (!found->is_string()) {
        return make_error_code(api_errc::wrong_type);
    }
    return found->get<std::string>();
}

auto read_required_text(const json& document, const char* name)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(text, read_optional_text(document, name));
    if (text.empty()) {
        return make_error_code(api_errc::missing_member);
    }
    return text;
}

auto read_deadline(const json& document)
    -> core::result<std::optional<core::milliseconds>>
{
    const auto found = document.find("deadline_ms");
    if (found == document.end()) {
        return std::optional<core::milliseconds>();
    }
    if (!found->is_number_integer()) {
        return make_error_code(api_errc::invalid_deadline);
    }
    const auto too_large =
        found->is_number_unsigned() &&
        found->get<std::uint64_t>() > std::uint64_t(max_deadline.count());
    const auto value = too_large ? 0 : found->get<std::int64_t>();
    if (value <= 0) {
        return make_error_code(api_errc::invalid_deadline);
    }
    return std::optional(core::milliseconds(value));
}

auto read_priority(const json& document) -> core::result<request_priority>
{
    BOOST_OUTCOME_TRY(text, read_optional_text(document, "priority"));
    if (text.empty() || text == "normal") {
        return request_priority::normal;
    }
    if (text == "interactive") {
        return request_priority::interactive;
    }
    if (text == "batch") {
        return request_priority::batch;
    }
    return make_error_code(api_errc::invalid_priority);
}

auto read_idempotency_key(const json& document) -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(key, read_optional_text(document, "idempotency_key"));
    const auto is_present = document.contains("idempotency_key");
    if ((is_present && key.empty()) || key.size() > max_idempotency_key_bytes) {
        return make_error_code(api_errc::invalid_idempotency_key);
    }
    return key;
}

auto read_stream(const json& document) -> core::result<bool>
{
    const auto found = document.find("stream");
    if (found == document.end()) {
        return false;
    }
    if (!found->is_boolean()) {
        return make_error_code(api_errc::wrong_type);
    }
    return found->get<bool>();
}

} // namespace

auto parse_run_request(std::string_view body) -> core::result<run_request>
{
    if (nesting_depth(body) > max_depth) {
        return make_error_code(api_errc::malformed_json);
    }
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return make_error_code(api_errc::malformed_json);
    }
    BOOST_OUTCOME_TRY(workspace, read_required_text(document, "workspace"));
    BOOST_OUTCOME_TRY(pipeline, read_required_text(document, "pipeline"));
    BOOST_OUTCOME_TRY(deadline, read_deadline(document));
    BOOST_OUTCOME_TRY(priority, read_priority(document));
    BOOST_OUTCOME_TRY(key, read_idempotency_key(document));
    BOOST_OUTCOME_TRY(stream, read_stream(document));
    auto parsed = run_request();
    parsed.workspace = core::workspace_name(workspace);
    parsed.pipeline = core::pipeline_name(pipeline);
    parsed.deadline = deadline;
    parsed.priority = priority;
    parsed.idempotency_key = key;
    parsed.stream = stream;
    const auto input = document.find("input");
    parsed.input = input == document.end() ? "null" : input->dump();
    return parsed;
}

} // namespace almondtiller::api
