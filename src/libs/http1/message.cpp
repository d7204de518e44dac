#include "http1/message.h"

#include <algorithm>
#include <array>
#include <utility>

namespace almondtiller::http1 {

namespace {

auto lower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? char(letter - 'A' + 'a') : letter;
}

auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

header_list::header_list(std::initializer_list<header_field> initial)
    : fields(initial)
{}

auto header_list::add(std::string name, std::string value) -> void
{
    this->fields.push_back({std::move(name), std::move(value)});
}

auto header_list::find(std::string_view name) const -> std::string_view
{
    for (const auto& field : this->fields) {
        if (equal_names(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

auto header_list::has(std::string_view name) const -> bool
{
    return std::any_of(
        this->fields.begin(), this->fields.end(),
        [name](const auto& field) { return equal_names(field.name, name); });
}

auto header_list::begin() const -> std::vector<header_field>::const_iterator
{
    return this->fields.begin();
}

auto header_list::end() const -> std::vector<header_field>::const_iterator
{
    return this->fields.end();
}

auto equal_names(std::string_view left, std::string_view right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char one, char other) { return lower(one) == lower(other); });
}

auto has_token(std::string_view value, std::string_view token) -> bool
{
    while (!value.empty()) {
        const auto comma = value.find(',');
        if (equal_names(trimmed(value.substr(0, comma)), token)) {
            return true;
        }
        value = comma == std::string_view::npos ? std::string_view()
                                                : value.substr(comma + 1);
    }
    return false;
}

auto is_hop_by_hop(std::string_view name, const header_list& message) -> bool
{
    static constexpr auto names = std::array<std::string_view, 10>{
        "connection",       "keep-alive",
        "proxy-connection", "te",
        "trailer",          "transfer-encoding",
        "upgrade",          "content-length",
        "expect",           "proxy-authorization"};
    return std::any_of(
               names.begin(), names.end(),
               [name](auto known) { return equal_names(name, known); }) ||
           has_token(message.find("connection"), name);
}

auto reason_phrase(int status) -> std::string_view
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

auto serialize(const request_message& request) -> std::string
{
    auto text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& field : request.headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    const auto may_have_body = request.method != "GET" &&
                               request.method != "HEAD" &&
                               request.method != "DELETE";
    if (may_have_body || !request.body.empty()) {
        text +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n";
    text += request.body;
    return text;
}

} // namespace almondtiller::http1
