#include "source_scan.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

namespace almondtiller::reference {

namespace {

namespace fs = std::filesystem;

/// One or more adjacent string literals.
constexpr auto literals = R"re(((?:"(?:[^"\\]|\\.)*"\s*)+))re";

auto read_text(const fs::path& path) -> std::string
{
    auto stream = std::ifstream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

auto source_texts(const fs::path& sources) -> std::vector<std::string>
{
    auto texts = std::vector<std::string>();
    for (const auto& entry : fs::recursive_directory_iterator(sources)) {
        const auto extension = entry.path().extension();
        if (extension == ".cpp" || extension == ".h") {
            texts.push_back(read_text(entry.path()));
        }
    }
    return texts;
}

/// \return The text of adjacent literals, without quotes and line breaks.
auto joined(const std::string& quoted) -> std::string
{
    static const auto literal = std::regex(R"re("((?:[^"\\]|\\.)*)")re");
    auto text = std::string();
    auto begin = std::sregex_iterator(quoted.begin(), quoted.end(), literal);
    for (; begin != std::sregex_iterator(); ++begin) {
        text += (*begin)[1].str();
    }
    return text;
}

auto category_of(const std::string& text) -> std::string
{
    static const auto pattern = std::regex(R"re(table_category\(\s*"(\w+)")re");
    auto match = std::smatch();
    return std::regex_search(text, match, pattern) ? match[1].str() : "";
}

} // namespace

auto scan_errors(const fs::path& sources) -> std::vector<error_row>
{
    static const auto pattern = std::regex(
        std::string(R"re(error_entry\{\s*int\(\w+::\w+\),\s*"(\w+)",\s*)re") +
        literals);
    auto rows = std::set<error_row>();
    for (const auto& text : source_texts(sources)) {
        const auto category = category_of(text);
        auto row = std::sregex_iterator(text.begin(), text.end(), pattern);
        for (; row != std::sregex_iterator(); ++row) {
            rows.insert({category, (*row)[1].str(), joined((*row)[2].str())});
        }
    }
    return {rows.begin(), rows.end()};
}

auto scan_metrics(const fs::path& sources) -> std::vector<metric_row>
{
    static const auto pattern = std::regex(
        std::string(R"re("(almondtiller_\w+)",\s*(?:\w+::)*metric_kind::)re") +
        R"re((\w+),\s*)re" + literals);
    auto rows = std::set<metric_row>();
    for (const auto& text : source_texts(sources)) {
        auto row = std::sregex_iterator(text.begin(), text.end(), pattern);
        for (; row != std::sregex_iterator(); ++row) {
            rows.insert(
                {(*row)[1].str(), (*row)[2].str(), joined((*row)[3].str())});
        }
    }
    return {rows.begin(), rows.end()};
}

auto errors_page(const std::vector<error_row>& rows) -> std::string
{
    auto page = std::string(R"(# Error codes

Printed from the error tables under src by `scripts/reference`; do not edit.
The names stand in problem documents, in the label `reason` of counters and
in what tillerctl prints.

| category | code | meaning |
| --- | --- | --- |
)");
    for (const auto& row : rows) {
        page += "| " + row.category + " | `" + row.name + "` | " + row.message +
                " |\n";
    }
    return page;
}

auto metrics_page(const std::vector<metric_row>& rows) -> std::string
{
    auto page = std::string(R"(# Metrics

Printed from the metric tables under src by `scripts/reference`; do not edit.
Every node shows them at `GET /metrics` in the Prometheus text format.

| metric | kind | meaning |
| --- | --- | --- |
)");
    for (const auto& row : rows) {
        page +=
            "| `" + row.name + "` | " + row.kind + " | " + row.help + " |\n";
    }
    return page;
}

} // namespace almondtiller::reference
