#include "standin/answers.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace almondtiller::standin {

namespace {

using nlohmann::json;

constexpr auto prefix_bytes = std::size_t(256);
constexpr auto token_digest_digits = 6;

auto hex_hash(const std::string& text) -> std::string
{
    auto digits = std::array<char, 17>();
    std::snprintf(
        digits.data(), digits.size(), "%016llx",
        static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return {digits.data()};
}

/// Visits every value of a member called \a name, at any depth.
template <typename Visitor>
auto visit_members(const json& value, const std::string& name, Visitor visitor)
    -> void
{
    if (value.is_object() && value.contains(name)) {
        visitor(value.at(name));
    }
    if (value.is_structured()) {
        for (const auto& child : value) {
            visit_members(child, name, visitor);
        }
    }
}

auto markers_of(const json& input) -> json
{
    auto found = std::set<json>();
    visit_members(input, "marker",
                  [&](const json& marker) { found.insert(marker); });
    visit_members(input, "markers", [&](const json& markers) {
        for (const auto& marker : markers) {
            found.insert(marker);
        }
    });
    return json(found);
}

} // namespace

auto read_run_request(const std::string& body, std::uint32_t default_tokens)
    -> run_request
{
    const auto parsed = json::parse(body);
    auto request = run_request();
    request.info.attempt = parsed.at("attempt").get<std::string>();
    request.info.request = parsed.value("request", "");
    request.info.workspace = parsed.value("workspace", "");
    request.info.key = parsed.value("idempotency_key", "");
    request.kind = parsed.value("kind", "");
    request.stream = parsed.value("stream", false);
    request.resume_from = parsed.value("resume_from", 0U);
    const auto input = parsed.value("input", json());
    const auto text = input.dump();
    visit_members(input, "answer_tokens", [&](const json& wanted) {
        request.wanted_tokens = wanted.get<std::uint32_t>();
    });
    request.tokens = request.wanted_tokens.value_or(default_tokens);
    request.tokens =
        std::min(request.tokens, parsed.value("max_tokens", request.tokens));
    request.digest = hex_hash(request.info.request + "\n" + text);
    request.prefix_hash =
        hex_hash(request.info.workspace + "\n" + text.substr(0, prefix_bytes));
    request.markers = markers_of(input).dump();
    return request;
}

auto token_text(const run_request& request, std::uint32_t index) -> std::string
{
    return request.digest.substr(0, token_digest_digits) + "-" +
           std::to_string(index) + " ";
}

auto output_of(const run_request& request) -> json
{
    auto output = json{{"digest", request.digest},
                       {"request", request.info.request},
                       {"kind", request.kind},
                       {"markers", json::parse(request.markers)}};
    if (request.wanted_tokens) {
        output["answer_tokens"] = *request.wanted_tokens;
    }
    if (request.kind == "generate") {
        auto text = std::string();
        for (auto index = 0U; index < request.tokens; ++index) {
            text += token_text(request, index);
        }
        output["text"] = text;
    }
    return output;
}

} // namespace almondtiller::standin
