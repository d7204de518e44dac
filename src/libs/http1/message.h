#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::http1 {

struct header_field
{
    std::string name;
    std::string value;

    auto operator==(const header_field&) const -> bool = default;
};

/// The header fields of a message, in their order.
class header_list
{
public:
    header_list() = default;
    header_list(std::initializer_list<header_field> fields);

    auto add(std::string name, std::string value) -> void;

    /// \return The first value of that name, or an empty text.
    [[nodiscard]] auto find(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto has(std::string_view name) const -> bool;
    [[nodiscard]] auto begin() const
        -> std::vector<header_field>::const_iterator;
    [[nodiscard]] auto end() const -> std::vector<header_field>::const_iterator;

    auto operator==(const header_list&) const -> bool = default;

private:
    std::vector<header_field> fields;
};

/// Compares names of header fields (ASCII, case-insensitive).
[[nodiscard]] auto equal_names(std::string_view left, std::string_view right)
    -> bool;

/// \return Whether a comma-separated value has \a token.
[[nodiscard]] auto has_token(std::string_view value, std::string_view token)
    -> bool;

/// \return Whether a field concerns one connection only (RFC 9110, 7.6.1) or
///         frames the body; such fields are not passed on.
[[nodiscard]] auto is_hop_by_hop(std::string_view name,
                                 const header_list& message) -> bool;

/// A whole request.
struct request_message
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    bool keep_alive = true;

    auto operator==(const request_message&) const -> bool = default;
};

/// The head of an answer.
struct response_head
{
    int status = 0;
    header_list headers;
    bool keep_alive = true;
    /// Ends with its connection.
    bool ends_with_connection = false;

    auto operator==(const response_head&) const -> bool = default;
};

/// \return The standard reason phrase of \a status.
[[nodiscard]] auto reason_phrase(int status) -> std::string_view;

/// Writes a request with a Content-Length where it has a body or its method
/// may have one.
[[nodiscard]] auto serialize(const request_message& request) -> std::string;

} // namespace almondtiller::http1
