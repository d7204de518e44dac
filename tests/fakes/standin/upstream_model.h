#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "standin/journal.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondtiller::standin {

using core::milliseconds;

/// How an upstream stand-in behaves; flags of the programs set it.
struct upstream_options
{
    std::string kind = "generate";
    std::string incarnation_prefix = "i";
    /// Requests that are executed at once; more wait.
    std::uint32_t capacity = 16;
    std::uint32_t queue_limit = 64;
    bool starts_cold = false;
    /// Requests in flight that it bears while it is cold.
    std::uint32_t cold_capacity = 1;
    std::uint32_t warm_completions = 8;
    /// How much slower a cold upstream is.
    double cold_factor = 2.0;
    milliseconds fall_time{1000};
    /// Time of a whole answer, without tokens.
    double service_ms = 5.0;
    /// Share of service_ms that varies at random, in [0, 1].
    double service_spread = 0.0;
    double prefill_ms = 0.0;
    double token_ms = 0.0;
    std::uint32_t tokens = 16;
    milliseconds report_lag{0};
    bool reports_load = true;
    bool checks_fencing = false;
    milliseconds load_time{0};
    milliseconds cache_lag{200};
    double cache_loss = 0.1;
    std::uint32_t cache_entries = 64;
    std::uint64_t seed = 1;
};

/// One attempt as the back end knows it.
struct attempt_info
{
    std::string attempt;
    std::string request;
    std::string workspace;
    std::string key;
};

enum class admission
{
    started,
    refused, ///< Not started.
    failed,  ///< Started and failed at once.
};

enum class wait_end
{
    elapsed,
    cancelled,
    failed, ///< The upstream fell over meanwhile.
};

/// A fault that the admin interface sets.
struct upstream_fault
{
    /// none, refuse, fail, slow, mismatch, cut or repeat_tokens.
    std::string mode = "none";
    double probability = 1.0;
    /// Factor of all times in mode slow.
    double factor = 1.0;
};

struct load_sample
{
    core::time_point taken;
    std::string incarnation;
    std::string state;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
};

struct cache_event
{
    std::uint64_t sequence = 0;
    core::time_point visible;
    bool stored = true;
    std::string prefix_hash;
};

/// The behaviour of an engine, a pool member or a plain service: admission,
/// cold start, falling over, faults and delays. Thread-safe; waits block.
class upstream_model
{
public:
    upstream_model(const core::runtime_clock& clock, upstream_options options,
                   journal& record);

    /// Takes a slot, waiting for one if need be.
    auto admit(const attempt_info& info) -> admission;

    /// Spends \a time_ms, scaled by the state, unless the attempt ends first.
    auto spend(const attempt_info& info, double time_ms) -> wait_end;

    /// Gives the slot back. \a event is end, cancel, failed or broken.
    auto finish(const attempt_info& info, const std::string& event) -> void;

    auto cancel(const std::string& attempt) -> void;
    auto turn_cold() -> void;
    auto set_fault(upstream_fault fault) -> void;

    /// \return Whether the fault \a mode strikes now.
    auto strikes(const std::string& mode) -> bool;

    [[nodiscard]] auto service_time_ms() -> double;
    /// \return The time to the first token, after noting the prefix as cached.
    [[nodiscard]] auto prefill_time_ms(const std::string& prefix_hash)
        -> double;
    [[nodiscard]] auto incarnation() const -> std::string;
    [[nodiscard]] auto state_name() const -> std::string;
    [[nodiscard]] auto lagged_load() const -> load_sample;
    [[nodiscard]] auto visible_cache_events(std::uint64_t after) const
        -> std::vector<cache_event>;

private:
    struct running
    {
        std::uint64_t epoch = 0;
        std::uint64_t turn = 0;
        bool cancelled = false;
    };

    auto write(const attempt_info& info, const std::string& event) -> void;
    auto fall_over() -> void;
    auto become_cold() -> void;
    auto sample() -> void;
    [[nodiscard]] auto cold_in_flight() const -> std::size_t;
    [[nodiscard]] auto is_over_cold_capacity() const -> bool;
    auto add_cache_event(bool stored, const std::string& hash) -> void;
    [[nodiscard]] auto draw() -> double;
    [[nodiscard]] auto name_of_state() const -> std::string;

    const core::runtime_clock& clock;
    upstream_options options;
    journal& record;
    mutable std::mutex mutex;
    std::condition_variable changed;
    core::random_source random;
    bool cold;
    std::uint64_t epoch = 1;
    /// Counts the times it turned cold; attempts from before a turn do not
    /// use up what a cold upstream bears.
    std::uint64_t turn = 0;
    /// When the first answer since the last turn told a caller of it.
    core::time_point told_cold = core::time_point::min();
    std::uint32_t completions = 0;
    std::uint32_t queued = 0;
    core::time_point fallen_until;
    std::map<std::string, running> attempts;
    upstream_fault fault;
    std::deque<load_sample> samples;
    std::deque<std::string> cached;
    std::vector<cache_event> cache_events;
    std::uint64_t cache_sequence = 0;
};

} // namespace almondtiller::standin
