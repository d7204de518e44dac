#include "load/report.h"

#include <nlohmann/json.hpp>

#include <array>
#include <iomanip>
#include <sstream>

namespace almondtiller::load {

namespace {

using harness::call_outcome;

constexpr auto reported_quantiles = std::array{0.5, 0.9, 0.99, 0.999};

auto to_ms(core::duration value) -> double
{
    return std::chrono::duration<double, std::milli>(value).count();
}

auto quantiles_of(const core::latency_histogram& latencies) -> nlohmann::json
{
    auto row = nlohmann::json::object();
    for (const auto quantile : reported_quantiles) {
        auto name = std::ostringstream();
        name << 'p' << quantile * 100.0;
        row[name.str()] = to_ms(latencies.quantile(quantile));
    }
    return row;
}

} // namespace

auto report::record(const harness::call_result& result, core::duration latency,
                    bool is_in_time) -> void
{
    const auto is_complete = result.outcome == call_outcome::complete;
    const auto guard = std::lock_guard(this->mutex);
    ++this->outcomes[result.outcome];
    if (!result.code.empty()) {
        ++this->codes[result.code];
    }
    this->in_time += is_complete && is_in_time ? 1 : 0;
    this->token_count += is_complete ? result.tokens : 0;
    this->attempts += result.attempts;
    if (is_complete) {
        this->latencies.record(latency);
    }
    if (result.first_token > core::duration::zero()) {
        this->first_tokens.record(result.first_token);
    }
}

auto report::count() const -> std::uint64_t
{
    const auto guard = std::lock_guard(this->mutex);
    auto total = std::uint64_t(0);
    for (const auto& [outcome, number] : this->outcomes) {
        total += number;
    }
    return total;
}

auto report::count(call_outcome outcome) const -> std::uint64_t
{
    const auto guard = std::lock_guard(this->mutex);
    const auto found = this->outcomes.find(outcome);
    return found == this->outcomes.end() ? 0 : found->second;
}

auto report::attainment() const -> double
{
    const auto total = this->count();
    return total == 0 ? 0.0 : double(this->in_time_count()) / double(total);
}

auto report::in_time_count() const -> std::uint64_t
{
    const auto guard = std::lock_guard(this->mutex);
    return this->in_time;
}

auto report::tokens() const -> std::uint64_t
{
    const auto guard = std::lock_guard(this->mutex);
    return this->token_count;
}

auto report::quantile_ms(double quantile) const -> double
{
    return to_ms(this->latencies.quantile(quantile));
}

auto report::to_json() const -> std::string
{
    auto row = nlohmann::json{{"requests", this->count()},
                              {"in_time", this->in_time_count()},
                              {"attainment", this->attainment()},
                              {"tokens", this->tokens()},
                              {"latency_ms", quantiles_of(this->latencies)}};
    const auto guard = std::lock_guard(this->mutex);
    row["attempts"] = this->attempts;
    row["codes"] = this->codes;
    row["outcomes"] = nlohmann::json::object();
    for (const auto& [outcome, number] : this->outcomes) {
        row["outcomes"][to_string(outcome)] = number;
    }
    if (this->first_tokens.count() > 0) {
        row["first_token_ms"] = quantiles_of(this->first_tokens);
    }
    return row.dump();
}

auto report::to_table() const -> std::string
{
    const auto row = nlohmann::json::parse(this->to_json());
    auto text = std::ostringstream();
    text << std::fixed << std::setprecision(3);
    text << "requests    " << row["requests"] << "\nin time     "
         << row["in_time"] << " (" << this->attainment() * 100.0 << " %)\n";
    for (const auto& [name, number] : row["outcomes"].items()) {
        text << "  " << std::left << std::setw(14) << name << number << '\n';
    }
    for (const auto& [name, number] : row["codes"].items()) {
        text << "  code " << name << ' ' << number << '\n';
    }
    text << "tokens      " << row["tokens"] << "\nlatency ms ";
    for (const auto& [name, value] : row["latency_ms"].items()) {
        text << ' ' << name << ' ' << value.get<double>();
    }
    text << '\n';
    return text.str();
}

} // namespace almondtiller::load
