#pragma once

#include "core/clock.h"
#include "standin/journal.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace almondtiller::standin {

/// What an engine was ordered to hold. Thread-safe.
class order_desk
{
public:
    order_desk(const core::runtime_clock& clock, bool checks_fencing,
               core::milliseconds load_time, journal& record);

    /// Takes the body of POST /v1/orders; throws nlohmann's exceptions.
    /// \return The status of the answer; \a answer receives its text.
    auto take(const std::string& body, std::string& answer) -> int;

    [[nodiscard]] auto is_loading() const -> bool;

    /// \return JSON text of the models that are loaded.
    [[nodiscard]] auto models() const -> std::string;
    [[nodiscard]] auto role() const -> std::string;

private:
    const core::runtime_clock& clock;
    bool checks_fencing;
    core::milliseconds load_time;
    journal& record;
    mutable std::mutex mutex;
    std::uint64_t highest_fencing = 0;
    std::string desired = "{}";
    std::vector<std::string> loaded;
    core::time_point loading_until;
};

} // namespace almondtiller::standin
