#include "settings/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace almondtiller::settings {

namespace {

auto edit_distance(std::string_view left, std::string_view right) -> std::size_t
{
    auto row = std::vector<std::size_t>(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (auto i = std::size_t(1); i <= left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (auto j = std::size_t(1); j <= right.size(); ++j) {
            const auto substituted =
                diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

} // namespace

auto nearest_name(std::string_view wanted,
                  const std::vector<std::string>& known) -> std::string
{
    const auto nearest = std::min_element(
        known.begin(), known.end(),
        [wanted](const auto& left, const auto& right) {
            return edit_distance(wanted, left) < edit_distance(wanted, right);
        });
    return nearest == known.end() ? std::string() : *nearest;
}

} // namespace almondtiller::settings
