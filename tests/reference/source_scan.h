#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace almondtiller::reference {

/// One enumerator of an error category, as its table states it.
struct error_row
{
    std::string category;
    std::string name;
    std::string message;

    auto operator==(const error_row&) const -> bool = default;
    auto operator<=>(const error_row&) const = default;
};

/// One family of time series, as its metric_info states it.
struct metric_row
{
    std::string name;
    std::string kind;
    std::string help;

    auto operator==(const metric_row&) const -> bool = default;
    auto operator<=>(const metric_row&) const = default;
};

/// Finds every error_entry of the sources below a directory.
[[nodiscard]] auto scan_errors(const std::filesystem::path& sources)
    -> std::vector<error_row>;

/// Finds every metric_info of the sources below a directory.
[[nodiscard]] auto scan_metrics(const std::filesystem::path& sources)
    -> std::vector<metric_row>;

/// The reference pages, in Markdown.
[[nodiscard]] auto errors_page(const std::vector<error_row>& rows)
    -> std::string;
[[nodiscard]] auto metrics_page(const std::vector<metric_row>& rows)
    -> std::string;

} // namespace almondtiller::reference
