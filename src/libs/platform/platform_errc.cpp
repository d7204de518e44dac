#include "platform/platform_errc.h"

#include <array>

namespace almondtiller::platform {

namespace {

using core::error_entry;

constexpr auto entries = std::array{
    error_entry{int(platform_errc::not_found), "not_found",
                "the object does not exist"},
    error_entry{int(platform_errc::already_exists), "already_exists",
                "an object of that name exists already"},
    error_entry{int(platform_errc::version_conflict), "version_conflict",
                "the object has another version than expected"},
    error_entry{int(platform_errc::rate_limited), "rate_limited",
                "the platform refused the call because of its rate limit"},
    error_entry{int(platform_errc::unavailable), "unavailable",
                "the platform could not be reached or refused to serve"},
    error_entry{int(platform_errc::outcome_unknown), "outcome_unknown",
                "no answer came; the write may have taken effect"},
    error_entry{int(platform_errc::value_too_large), "value_too_large",
                "the value is larger than the platform holds"},
    error_entry{int(platform_errc::malformed_answer), "malformed_answer",
                "the platform's answer could not be understood"},
    error_entry{int(platform_errc::watch_expired), "watch_expired",
                "the watch starts at a revision that is no longer kept"},
};

} // namespace

auto platform_category() -> const core::table_category&
{
    static const auto category = core::table_category("platform", entries);
    return category;
}

auto make_error_code(platform_errc code) -> std::error_code
{
    return {int(code), platform_category()};
}

} // namespace almondtiller::platform
