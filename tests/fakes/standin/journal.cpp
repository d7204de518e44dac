#include "standin/journal.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace almondtiller::standin {

journal::journal(const core::runtime_clock& clock, const std::string& path)
    : clock(clock)
{
    if (!path.empty()) {
        this->file.open(path, std::ios::app);
    }
}

auto journal::write(nlohmann::json entry) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    entry["time_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                           this->clock.now().time_since_epoch())
                           .count();
    auto line = std::move(entry).dump();
    line += '\n';
    if (this->file.is_open()) {
        this->file << line << std::flush;
    }
    this->lines.push_back(std::move(line));
}

auto journal::text() const -> std::string
{
    const auto guard = std::lock_guard(this->mutex);
    auto all = std::string();
    for (const auto& line : this->lines) {
        all += line;
    }
    return all;
}

} // namespace almondtiller::standin
