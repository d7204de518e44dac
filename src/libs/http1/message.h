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

/// The header fields of a message, in message order.
class header_list
{
public:
    header_list() = default;
    header_list(std::initializer_list<header_field> fields);

    auto add(std::string name, std::string value) -> void;

    /// \return The first value of the field \a name; empty if there is none.
    [[nodiscard]] auto find(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto has(std::string_view name) const -> bool;
    [[nodiscard]] auto begin() const
        -> std::vector<header_field>::const_iterator;
    [[nodiscard]] auto end() const -> std::vector<header_field>::const_iterator;

    auto operator==(const header_list&) const -> bool = default;

private:
    std::vector<header_field> fields;
};

/// Compares header field names, ignoring ASCII case.
[[nodiscard]] auto equal_names(std::string_view left, std::string_view right)
    -> bool;

/// \return Whether a comma-separated list contains \a token, ignoring case.
[[nodiscard]] auto has_token(std::string_view value, std::string_view token)
    -> bool;

/// \return Whether a field applies to a single connection (RFC 9110, 7.6.1) or
///         to the framing of the body; such fields are not forwarded.
[[nodiscard]] auto is_hop_by_hop(std::string_view name,
                                 const header_list& message) -> bool;

/// A complete request.
struct request_message
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    bool keep_alive = true;

    auto operator==(const request_message&) const -> bool = default;
};

/// Status and header fields of a response.
struct response_head
{
    int status = 0;
    header_list headers;
    bool keep_alive = true;
    /// True if the end of the connection marks the end of the body.
    bool ends_with_connection = false;

    auto operator==(const response_head&) const -> bool = default;
};

/// \return The reason phrase of \a status; "Status" for codes not in the table.
[[nodiscard]] auto reason_phrase(int status) -> std::string_view;

/// Serializes a request; adds Content-Length if the request has a body or its
/// method allows one.
[[nodiscard]] auto serialize(const request_message& request) -> std::string;

} // namespace almondtiller::http1
