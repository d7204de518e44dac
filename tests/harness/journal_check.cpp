#include "harness/journal_check.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>

namespace almondtiller::harness {

namespace {

using nlohmann::json;

auto parse_entry(const std::string& line, const std::string& source)
    -> journal_entry
{
    const auto parsed = json::parse(line, nullptr, false);
    auto entry = journal_entry();
    if (!parsed.is_object()) {
        return entry;
    }
    entry.time_us = parsed.value("time_us", std::int64_t(0));
    entry.event = parsed.value("event", "");
    entry.attempt = parsed.value("attempt", "");
    entry.request = parsed.value("request", "");
    entry.workspace = parsed.value("workspace", "");
    entry.key = parsed.value("key", "");
    entry.over_cold = parsed.value("over_cold", false);
    entry.source = source;
    return entry;
}

} // namespace

auto read_journals(const std::vector<std::string>& paths)
    -> std::vector<journal_entry>
{
    auto entries = std::vector<journal_entry>();
    for (const auto& path : paths) {
        auto file = std::ifstream(path);
        for (auto line = std::string(); std::getline(file, line);) {
            entries.push_back(parse_entry(line, path));
        }
    }
    std::stable_sort(entries.begin(), entries.end(),
                     [](const auto& left, const auto& right) {
                         return left.time_us < right.time_us;
                     });
    return entries;
}

auto summarize(const std::vector<journal_entry>& entries) -> journal_summary
{
    auto summary = journal_summary();
    auto attempts = std::set<std::string>();
    for (const auto& entry : entries) {
        if (entry.event == "start") {
            ++summary.started;
            summary.over_cold += entry.over_cold ? 1 : 0;
            summary.doubled_attempts +=
                attempts.insert(entry.attempt).second ? 0 : 1;
            ++summary.starts_by_request[entry.request];
            if (!entry.key.empty()) {
                ++summary.starts_by_key[entry.workspace + "/" + entry.key];
            }
        }
        summary.ended += entry.event == "end" ? 1 : 0;
        summary.refused += entry.event == "refused" ? 1 : 0;
        summary.failed += entry.event == "failed" ? 1 : 0;
        summary.cancelled += entry.event == "cancel" ? 1 : 0;
        summary.falls += entry.event == "fell" ? 1 : 0;
    }
    return summary;
}

auto keys_run_twice(const journal_summary& summary) -> std::uint64_t
{
    return std::uint64_t(std::count_if(
        summary.starts_by_key.begin(), summary.starts_by_key.end(),
        [](const auto& one) { return one.second > 1; }));
}

} // namespace almondtiller::harness
