#pragma once

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace almondtiller::core {

/// One row of an error category's table.
struct error_entry
{
    int value;                ///< The enumerator's value; never 0.
    std::string_view name;    ///< The enumerator's name, used in counters.
    std::string_view message; ///< One sentence for human readers.
};

/// An error category defined by a table of its enumerators.
/// The table must outlive the category; both are usually static.
class table_category : public std::error_category
{
public:
    table_category(const char* name, std::span<const error_entry> entries);

    [[nodiscard]] auto name() const noexcept -> const char* override;
    [[nodiscard]] auto message(int value) const -> std::string override;

    /// \return The enumerator's name, or "unknown_error".
    [[nodiscard]] auto enumerator_name(int value) const -> std::string_view;

    /// \return All rows, in the order of the enumeration.
    [[nodiscard]] auto entries() const -> std::span<const error_entry>;

private:
    const char* category_name;
    std::span<const error_entry> table;
};

/// \return The enumerator's name of \a code, for counters, logs and problem
///         documents; "none" for success, category name and numeric value for
///         codes of categories without a table.
[[nodiscard]] auto error_name(const std::error_code& code) -> std::string;

} // namespace almondtiller::core
