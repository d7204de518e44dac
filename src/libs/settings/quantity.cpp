#include "settings/quantity.h"

#include "settings/settings_errc.h"

#include <array>
#include <charconv>
#include <limits>
#include <span>

namespace almondtiller::settings {

namespace {

struct unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr auto duration_units = std::array{
    unit{"ms", 1}, unit{"s", 1000}, unit{"m", 60'000}, unit{"h", 3'600'000}};
constexpr auto size_units = std::array{
    unit{"B", 1}, unit{"KiB", std::uint64_t(1) << 10U},
    unit{"MiB", std::uint64_t(1) << 20U}, unit{"GiB", std::uint64_t(1) << 30U}};

/// Upper bound of parsed values, so that they fit into signed 64-bit types.
constexpr auto max_value =
    std::uint64_t(std::numeric_limits<std::int64_t>::max());

auto parse_quantity(std::string_view text, std::span<const unit> units)
    -> core::result<std::uint64_t>
{
    auto number = std::uint64_t(0);
    const auto* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc()) {
        return make_error_code(settings_errc::wrong_type);
    }
    const auto suffix = std::string_view(rest, std::size_t(end - rest));
    for (const auto& known : units) {
        if (known.suffix == suffix && number <= max_value / known.factor) {
            return number * known.factor;
        }
    }
    return make_error_code(settings_errc::wrong_type);
}

auto format_quantity(std::uint64_t value, std::span<const unit> units)
    -> std::string
{
    auto best = units.front();
    for (const auto& candidate : units) {
        if (value != 0 && value % candidate.factor == 0) {
            best = candidate;
        }
    }
    return std::to_string(value / best.factor) + std::string(best.suffix);
}

} // namespace

auto parse_duration(std::string_view text) -> core::result<core::milliseconds>
{
    BOOST_OUTCOME_TRY(count, parse_quantity(text, duration_units));
    return core::milliseconds(count);
}

auto parse_size(std::string_view text) -> core::result<std::uint64_t>
{
    return parse_quantity(text, size_units);
}

auto format_duration(core::milliseconds value) -> std::string
{
    return format_quantity(std::uint64_t(value.count()), duration_units);
}

auto format_size(std::uint64_t bytes) -> std::string
{
    return format_quantity(bytes, size_units);
}

} // namespace almondtiller::settings
