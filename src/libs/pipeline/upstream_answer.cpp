#include "pipeline/upstream_answer.h"

#include <nlohmann/json.hpp>

namespace almondtiller::pipeline {

namespace {

using nlohmann::json;

auto text_of(const json& document, const char* name) -> std::string
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

auto is_true(const json& document, const char* name) -> bool
{
    const auto found = document.find(name);
    return found != document.end() && found->is_boolean() && found->get<bool>();
}

auto is_cold(const json& document) -> bool
{
    return text_of(document, "state") == "cold";
}

auto defective(answer_defect defect) -> upstream_answer
{
    auto answer = upstream_answer();
    answer.defect = defect;
    return answer;
}

} // namespace

auto to_string(answer_defect defect) -> std::string
{
    switch (defect) {
    case answer_defect::none:
        return "none";
    case answer_defect::cut:
        return "cut";
    case answer_defect::foreign:
        return "foreign";
    case answer_defect::miscount:
        return "miscount";
    }
    return "none";
}

auto parse_answer(std::string_view body, const core::attempt_id& attempt)
    -> upstream_answer
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return defective(answer_defect::cut);
    }
    if (text_of(document, "attempt") != attempt.str()) {
        return defective(answer_defect::foreign);
    }
    const auto output = document.find("output");
    if (!is_true(document, "final") || output == document.end()) {
        return defective(answer_defect::cut);
    }
    auto answer = upstream_answer();
    answer.output = output->dump();
    const auto tokens = document.find("tokens");
    if (tokens != document.end() && tokens->is_number_unsigned()) {
        answer.tokens = tokens->get<std::uint64_t>();
    }
    answer.incarnation = text_of(document, "incarnation");
    answer.cold = is_cold(document);
    return answer;
}

auto parse_failure(std::string_view body, const core::attempt_id& attempt)
    -> upstream_failure
{
    const auto document = json::parse(body, nullptr, false);
    auto failure = upstream_failure();
    if (!document.is_object() ||
        text_of(document, "attempt") != attempt.str()) {
        return failure;
    }
    const auto started = document.find("started");
    failure.not_started = started != document.end() && started->is_boolean() &&
                          !started->get<bool>();
    failure.incarnation = text_of(document, "incarnation");
    failure.cold = is_cold(document);
    return failure;
}

} // namespace almondtiller::pipeline
