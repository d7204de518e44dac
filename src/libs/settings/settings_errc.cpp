#include "settings/settings_errc.h"

#include <array>

namespace almondtiller::settings {

namespace {

using core::error_entry;

constexpr auto entries = std::array{
    error_entry{int(settings_errc::malformed_json), "malformed_json",
                "the declaration is not valid JSON"},
    error_entry{int(settings_errc::unknown_key), "unknown_key",
                "the declaration has a key that does not exist"},
    error_entry{int(settings_errc::wrong_type), "wrong_type",
                "a value has the wrong type or unit"},
    error_entry{int(settings_errc::out_of_range), "out_of_range",
                "a value is outside its bounds"},
    error_entry{int(settings_errc::missing_reference), "missing_reference",
                "a declaration names something that does not exist"},
    error_entry{int(settings_errc::duplicate_declaration),
                "duplicate_declaration", "the same thing is declared twice"},
    error_entry{int(settings_errc::inconsistent), "inconsistent",
                "declarations contradict each other"},
    error_entry{int(settings_errc::missing_setting), "missing_setting",
                "a setting that must be declared is not"},
};

} // namespace

auto settings_category() -> const core::table_category&
{
    static const auto category = core::table_category("settings", entries);
    return category;
}

auto make_error_code(settings_errc code) -> std::error_code
{
    return {int(code), settings_category()};
}

} // namespace almondtiller::settings
