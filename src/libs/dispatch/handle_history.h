#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>

namespace almondtiller::dispatch {

/// The handles of stage results that were returned recently. A handle is new in
/// each answer, so one that is known shows that an answer was sent before.
class handle_history
{
public:
    /// \param retention How long a handle is remembered.
    explicit handle_history(core::duration retention);

    auto record(const std::string& handle, core::time_point now) -> void;

    [[nodiscard]] auto contains(const std::string& handle) const -> bool;

private:
    core::duration retention;
    /// Hashes of the handles, oldest first.
    std::deque<std::pair<core::time_point, std::uint64_t>> by_time;
    std::multiset<std::uint64_t> known;
};

} // namespace almondtiller::dispatch
