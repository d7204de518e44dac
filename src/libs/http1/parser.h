#pragma once

#include "http1/message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <system_error>

namespace almondtiller::http1 {

/// Why bytes are no proper message.
enum class http1_errc
{
    malformed_message = 1, ///< Not HTTP/1.1, or an ambiguous body length.
    header_too_large,
    body_too_large,
    truncated_message, ///< The connection ended within a message.
    unexpected_bytes,  ///< Bytes where no message was due.
    timed_out,         ///< The peer said nothing for too long.
};

[[nodiscard]] auto http1_category() -> const std::error_category&;
[[nodiscard]] auto make_error_code(http1_errc code) -> std::error_code;

struct parser_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 4U << 20U;

    auto operator==(const parser_limits&) const -> bool = default;
};

/// Reads requests, one after another, from the bytes of a connection.
class request_parser
{
public:
    request_parser();
    ~request_parser();
    request_parser(const request_parser&) = delete;
    auto operator=(const request_parser&) -> request_parser& = delete;

    /// \param limits In force from the next request on.
    auto set_limits(const parser_limits& limits) -> void;

    /// Takes bytes of the connection.
    auto feed(std::string_view bytes) -> void;

    /// \return The next whole request, nothing while it is not whole, or the
    ///         error after which the connection must close.
    auto next(std::error_code& error) -> std::optional<request_message>;

    /// \return Whether a request has begun and is not whole.
    [[nodiscard]] auto is_within_request() const -> bool;

    /// \return Whether the caller waits for "100 Continue"; asked once.
    auto take_expectation() -> bool;

    /// \return Bytes that are buffered and not yet parsed.
    [[nodiscard]] auto buffered_bytes() const -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> data;
};

/// Reads one answer as it comes.
class response_parser
{
public:
    struct hooks
    {
        std::function<void(response_head)> on_head;
        std::function<void(std::string_view)> on_body;
    };

    /// \param has_no_body The request was HEAD.
    response_parser(hooks called, bool has_no_body);
    ~response_parser();
    response_parser(const response_parser&) = delete;
    auto operator=(const response_parser&) -> response_parser& = delete;

    /// \return An error when the bytes are no answer; unexpected_bytes when
    ///         more came than the answer has.
    auto feed(std::string_view bytes) -> std::error_code;

    /// Tells that the connection has ended cleanly.
    /// \return truncated_message when the answer is not whole.
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
