#pragma once

#include "http1/message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <system_error>

namespace almondtiller::http1 {

/// Reasons why a message cannot be read or used.
enum class http1_errc
{
    malformed_message = 1, ///< Not HTTP/1.1, or an ambiguous body length.
    header_too_large,
    body_too_large,
    truncated_message, ///< The connection closed within a message.
    unexpected_bytes,  ///< Bytes where no message was expected.
    timed_out,         ///< The message was not complete within the timeout.
    foreign_answer,    ///< The answer cannot be the one to the call.
    repeated_answer,   ///< The connection has carried the answer before.
};

[[nodiscard]] auto http1_category() -> const std::error_category&;
[[nodiscard]] auto make_error_code(http1_errc code) -> std::error_code;

struct parser_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 4U << 20U;

    auto operator==(const parser_limits&) const -> bool = default;
};

/// Parses the consecutive requests of a connection.
class request_parser
{
public:
    request_parser();
    ~request_parser();
    request_parser(const request_parser&) = delete;
    auto operator=(const request_parser&) -> request_parser& = delete;

    /// \param limits Apply from the next request on.
    auto set_limits(const parser_limits& limits) -> void;

    /// Appends bytes received on the connection to the parse buffer.
    auto feed(std::string_view bytes) -> void;

    /// Parses the buffered bytes.
    /// \param error Set if the request is invalid; the connection must then be
    ///        closed.
    /// \return The next request, or nothing while it is incomplete or invalid.
    auto next(std::error_code& error) -> std::optional<request_message>;

    /// \return Whether a request has been started and is incomplete.
    [[nodiscard]] auto is_within_request() const -> bool;

    /// \return Whether the client waits for "100 Continue"; resets the flag.
    auto take_expect_continue() -> bool;

    /// \return The number of buffered bytes that are not yet parsed.
    [[nodiscard]] auto buffered_bytes() const -> std::size_t;

    /// \return The number of bytes that the parser holds, including the body
    ///         that is being read.
    [[nodiscard]] auto held_bytes() const -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> data;
};

/// Parses one response incrementally.
class response_parser
{
public:
    struct hooks
    {
        std::function<void(response_head)> on_head;
        std::function<void(std::string_view)> on_body;
    };

    /// \param has_no_body True if the request was HEAD.
    response_parser(hooks callbacks, bool has_no_body);
    ~response_parser();
    response_parser(const response_parser&) = delete;
    auto operator=(const response_parser&) -> response_parser& = delete;

    /// \return An error if the bytes are not a valid response; unexpected_bytes
    ///         if there are bytes after the end of the response.
    auto feed(std::string_view bytes) -> std::error_code;

    /// Signals that the peer has closed the connection without an error.
    /// \return truncated_message if the response is incomplete.
    auto feed_end() -> std::error_code;

    [[nodiscard]] auto is_complete() const -> bool;

private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace almondtiller::http1

template <>
struct std::is_error_code_enum<almondtiller::http1::http1_errc> : std::true_type
{};
