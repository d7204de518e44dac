#include "pipeline/stream_reader.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace almondtiller::pipeline {

namespace {

constexpr auto data_field = std::string_view("data:");
constexpr auto event_field = std::string_view("event:");
constexpr auto token_member = std::string_view(",\"token\":");

auto without_leading_space(std::string_view text) -> std::string_view
{
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    return text;
}

/// \return The length of the JSON string at the start of \a text including its
///         quotation marks, or 0 if there is none.
auto json_string_length(std::string_view text) -> std::size_t
{
    if (!text.starts_with('"')) {
        return 0;
    }
    for (auto at = std::size_t(1); at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return 0;
}

} // namespace

stream_reader::stream_reader(core::attempt_id attempt, std::uint64_t first,
                             token_handler handle)
    : attempt(std::move(attempt)), next_index(first), handle(std::move(handle))
{
    this->token_prefix =
        R"({"attempt":")" + this->attempt.str() + R"(","index":)";
    this->result.defect = answer_defect::cut;
}

auto stream_reader::feed(std::string_view piece) -> bool
{
    auto start = std::size_t(0);
    for (auto end = piece.find('\n'); end != std::string_view::npos;
         end = piece.find('\n', start)) {
        auto line = piece.substr(start, end - start);
        start = end + 1;
        if (!this->partial_line.empty()) {
            this->partial_line += line;
            const auto full_line = std::exchange(this->partial_line, {});
            if (!this->read_line(full_line)) {
                return false;
            }
        } else if (!this->read_line(line)) {
            return false;
        }
    }
    this->partial_line += piece.substr(start);
    return true;
}

auto stream_reader::is_complete() const -> bool
{
    return this->complete;
}

auto stream_reader::answer() const -> upstream_answer
{
    return this->result;
}

auto stream_reader::read_line(std::string_view line) -> bool
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        this->in_end_event = false;
        return true;
    }
    if (line.starts_with(event_field)) {
        line.remove_prefix(event_field.size());
        this->in_end_event = without_leading_space(line) == "end";
        return true;
    }
    if (!line.starts_with(data_field)) {
        return true;
    }
    if (this->complete) {
        return this->fail(answer_defect::miscount);
    }
    line.remove_prefix(data_field.size());
    const auto data = without_leading_space(line);
    return this->in_end_event ? this->read_end(data) : this->read_token(data);
}

/// Fast path: parses a token event with the usual member order without building
/// a JSON document.
auto stream_reader::read_token(std::string_view data) -> bool
{
    if (!data.starts_with(this->token_prefix)) {
        return this->read_token_json(data);
    }
    auto rest = data.substr(this->token_prefix.size());
    auto index = std::uint64_t(0);
    const auto read =
        std::from_chars(rest.data(), rest.data() + rest.size(), index);
    if (read.ec != std::errc()) {
        return this->read_token_json(data);
    }
    rest.remove_prefix(std::size_t(read.ptr - rest.data()));
    if (!rest.starts_with(token_member)) {
        return this->read_token_json(data);
    }
    rest.remove_prefix(token_member.size());
    const auto length = json_string_length(rest);
    if (length == 0 || rest.substr(length) != "}") {
        return this->read_token_json(data);
    }
    return this->accept_token(index, rest.substr(0, length));
}

auto stream_reader::read_token_json(std::string_view data) -> bool
{
    const auto document = nlohmann::json::parse(data, nullptr, false);
    if (!document.is_object()) {
        return this->fail(answer_defect::cut);
    }
    const auto id = document.find("attempt");
    if (id == document.end() || *id != this->attempt.str()) {
        return this->fail(answer_defect::foreign);
    }
    const auto index = document.find("index");
    const auto token = document.find("token");
    if (index == document.end() || !index->is_number_unsigned() ||
        token == document.end() || !token->is_string()) {
        return this->fail(answer_defect::cut);
    }
    return this->accept_token(index->get<std::uint64_t>(), token->dump());
}

auto stream_reader::accept_token(std::uint64_t index, std::string_view text)
    -> bool
{
    if (index != this->next_index) {
        return this->fail(answer_defect::miscount);
    }
    ++this->next_index;
    this->handle(index, text);
    return true;
}

auto stream_reader::read_end(std::string_view data) -> bool
{
    auto document = nlohmann::json::parse(data, nullptr, false);
    if (!document.is_object()) {
        return this->fail(answer_defect::cut);
    }
    document["final"] = true;
    this->result = parse_answer(document.dump(), this->attempt);
    if (this->result.defect != answer_defect::none) {
        return false;
    }
    if (this->result.tokens != this->next_index) {
        return this->fail(answer_defect::miscount);
    }
    this->complete = true;
    return true;
}

auto stream_reader::fail(answer_defect defect) -> bool
{
    this->result = upstream_answer();
    this->result.defect = defect;
    this->complete = false;
    return false;
}

} // namespace almondtiller::pipeline
