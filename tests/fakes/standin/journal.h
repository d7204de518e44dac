#pragma once

#include "core/clock.h"

#include <nlohmann/json_fwd.hpp>

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace almondtiller::standin {

/// What a stand-in saw, one JSON object a line, in order. Thread-safe. Each
/// line is in the file before write() returns, so that it outlives a kill.
class journal
{
public:
    /// \param path Empty keeps the journal in memory only.
    journal(const core::runtime_clock& clock, const std::string& path);

    /// Adds \a entry with its time in microseconds of the monotonic clock,
    /// which the processes of one machine share.
    auto write(nlohmann::json entry) -> void;

    /// \return Every line, each ended by a newline.
    [[nodiscard]] auto text() const -> std::string;

private:
    const core::runtime_clock& clock;
    mutable std::mutex mutex;
    std::vector<std::string> lines;
    std::ofstream file;
};

} // namespace almondtiller::standin
