#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondtiller::fake_platform {

/// Limits and counts calls by second and by caller. Not thread-safe.
class call_meter
{
public:
    /// \param reads_per_second 0 sets no limit; also for writes.
    call_meter(std::uint64_t reads_per_second, std::uint64_t writes_per_second);

    /// Counts a call.
    /// \return False when it is over the rate.
    auto take(const std::string& caller, const std::string& what, bool is_write,
              core::time_point now) -> bool;

    /// \return JSON text: totals, by caller, by call, and by second.
    [[nodiscard]] auto text() const -> std::string;

private:
    struct second_count
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t refused = 0;
    };

    std::uint64_t reads_per_second;
    std::uint64_t writes_per_second;
    std::map<std::int64_t, second_count> seconds;
    std::map<std::string, std::uint64_t> callers;
    std::map<std::string, std::uint64_t> calls;
};

} // namespace almondtiller::fake_platform
