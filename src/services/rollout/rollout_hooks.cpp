#include "services/rollout/rollout_hooks.h"

namespace almondtiller::rollout {

auto text_of(phase current) -> std::string_view
{
    switch (current) {
    case phase::observing:
        return "observing";
    case phase::loaded:
        return "loaded";
    case phase::promoting:
        return "promoting";
    case phase::completed:
        return "completed";
    case phase::rolled_back:
        break;
    }
    return "rolled_back";
}

auto ms_text(core::duration time) -> std::string
{
    return std::to_string(
        std::chrono::duration_cast<core::milliseconds>(time).count());
}

} // namespace almondtiller::rollout
