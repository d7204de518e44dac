#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondtiller::harness {

/// One line of a stand-in's journal.
struct journal_entry
{
    std::int64_t time_us = 0;
    std::string event;
    std::string attempt;
    std::string request;
    std::string workspace;
    std::string key;
    bool over_cold = false;
    std::string source; ///< The path of the journal.
};

/// What the back ends saw, all together.
struct journal_summary
{
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t falls = 0;
    /// Starts at a cold upstream past what it bears.
    std::uint64_t over_cold = 0;
    /// Attempt ids that were started more than once.
    std::uint64_t doubled_attempts = 0;
    /// Starts by workspace and idempotency key.
    std::map<std::string, std::uint64_t> starts_by_key;
    std::map<std::string, std::uint64_t> starts_by_request;
};

/// Reads every line of the journals, in the order of their times.
auto read_journals(const std::vector<std::string>& paths)
    -> std::vector<journal_entry>;

auto summarize(const std::vector<journal_entry>& entries) -> journal_summary;

/// \return How many keys were started more than once.
auto keys_run_twice(const journal_summary& summary) -> std::uint64_t;

} // namespace almondtiller::harness
