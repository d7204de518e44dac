#include "core/errc.h"

namespace almondtiller::core {

table_category::table_category(const char* name,
                               std::span<const error_entry> entries)
    : category_name(name), table(entries)
{}

auto table_category::name() const noexcept -> const char*
{
    return this->category_name;
}

auto table_category::message(int value) const -> std::string
{
    for (const auto& entry : this->table) {
        if (entry.value == value) {
            return std::string(entry.message);
        }
    }
    return "unknown error";
}

auto table_category::enumerator_name(int value) const -> std::string_view
{
    for (const auto& entry : this->table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unknown_error";
}

auto table_category::entries() const -> std::span<const error_entry>
{
    return this->table;
}

auto error_name(const std::error_code& code) -> std::string
{
    if (!code) {
        return "none";
    }
    const auto* category =
        dynamic_cast<const table_category*>(&code.category());
    if (category != nullptr) {
        return std::string(category->enumerator_name(code.value()));
    }
    return std::string(code.category().name()) + "_" +
           std::to_string(code.value());
}

} // namespace almondtiller::core
