#pragma once

#include "core/histogram.h"
#include "harness/caller.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace almondtiller::load {

/// Collects the results of a run. record() may be called from any thread.
class report
{
public:
    /// \param latency From the intended time of sending to the answer's end.
    auto record(const harness::call_result& result, core::duration latency,
                bool in_time) -> void;

    [[nodiscard]] auto count() const -> std::uint64_t;
    [[nodiscard]] auto count(harness::call_outcome outcome) const
        -> std::uint64_t;
    /// \return The share of requests answered whole within their deadlines.
    [[nodiscard]] auto attainment() const -> double;
    [[nodiscard]] auto in_time_count() const -> std::uint64_t;
    [[nodiscard]] auto tokens() const -> std::uint64_t;
    [[nodiscard]] auto quantile_ms(double quantile) const -> double;

    /// \return JSON text.
    [[nodiscard]] auto to_json() const -> std::string;
    /// \return Lines for a person.
    [[nodiscard]] auto to_table() const -> std::string;

private:
    mutable std::mutex mutex;
    std::map<harness::call_outcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> codes;
    std::uint64_t in_time = 0;
    std::uint64_t token_count = 0;
    std::uint64_t attempts = 0;
    core::latency_histogram latencies;
    core::latency_histogram first_tokens;
};

} // namespace almondtiller::load
