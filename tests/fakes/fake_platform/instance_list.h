#pragma once

#include "core/clock.h"

#include <deque>
#include <string>

namespace almondtiller::fake_platform {

/// The instance list, which shows a change only after a lag. Not thread-safe.
class instance_list
{
public:
    explicit instance_list(core::milliseconds lag);

    /// \param text JSON text `{"instances":[...]}`.
    auto replace(const std::string& text, core::time_point now) -> void;

    [[nodiscard]] auto visible(core::time_point now) const -> std::string;

private:
    struct entry
    {
        core::time_point visible_from;
        std::string text;
    };

    core::milliseconds lag;
    std::deque<entry> entries;
};

} // namespace almondtiller::fake_platform
