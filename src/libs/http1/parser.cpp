#include "http1/parser.h"

#include "core/errc.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <utility>

namespace almondtiller::http1 {

namespace {

namespace beast_http = boost::beast::http;
using beast_error = boost::beast::error_code;
using beast_text = boost::beast::string_view;

/// Responses of upstreams may have any length because they are streamed.
constexpr auto unlimited_body = std::uint64_t(1) << 50U;
constexpr auto max_response_header_bytes = std::uint32_t(8192);

constexpr auto error_table = std::array{
    core::error_entry{int(http1_errc::malformed_message), "malformed_message",
                      "the bytes are not a proper HTTP/1.1 message"},
    core::error_entry{int(http1_errc::header_too_large), "header_too_large",
                      "the header is larger than allowed"},
    core::error_entry{int(http1_errc::body_too_large), "body_too_large",
                      "the body is larger than allowed"},
    core::error_entry{int(http1_errc::truncated_message), "truncated_message",
                      "the connection ended within a message"},
    core::error_entry{int(http1_errc::unexpected_bytes), "unexpected_bytes",
                      "bytes came where no message was due"},
    core::error_entry{int(http1_errc::timed_out), "timed_out",
                      "the peer said nothing for too long"},
    core::error_entry{int(http1_errc::foreign_answer), "foreign_answer",
                      "the answer can't be the one to the call"},
    core::error_entry{int(http1_errc::repeated_answer), "repeated_answer",
                      "the answer repeats an earlier one"}};

auto text(beast_text view) -> std::string
{
    return {view.data(), view.size()};
}

auto to_http1_error(const beast_error& error) -> std::error_code
{
    if (error == beast_http::error::header_limit) {
        return http1_errc::header_too_large;
    }
    if (error == beast_http::error::body_limit) {
        return http1_errc::body_too_large;
    }
    if (error == beast_http::error::partial_message) {
        return http1_errc::truncated_message;
    }
    return http1_errc::malformed_message;
}

/// \return Whether a response may have the status (RFC 9110, section 15). No
///         request asks to switch protocols.
auto is_valid_status(int status) -> bool
{
    constexpr auto first_status = 100;
    constexpr auto switching_protocols = 101;
    constexpr auto last_status = 599;
    return status >= first_status && status <= last_status &&
           status != switching_protocols;
}

/// Parser for requests or responses that passes the body to a hook.
template <bool is_request>
class hooked_parser : public beast_http::basic_parser<is_request>
{
public:
    std::string method;
    std::string target;
    int status = 0;
    header_list headers;
    std::function<void()> on_head;
    std::function<void(std::string_view)> on_body;

private:
    auto on_request_impl(beast_http::verb, beast_text method_text,
                         beast_text target_text, int, beast_error&)
        -> void override
    {
        this->method = text(method_text);
        this->target = text(target_text);
    }
    auto on_response_impl(int code, beast_text, int, beast_error& error)
        -> void override
    {
        this->status = code;
        if (!is_valid_status(code)) {
            error = beast_http::error::bad_status;
        }
    }
    auto on_field_impl(beast_http::field, beast_text name, beast_text value,
                       beast_error&) -> void override
    {
        this->headers.add(text(name), text(value));
    }
    auto on_header_impl(beast_error&) -> void override
    {
        this->on_head();
    }
    auto on_body_init_impl(const boost::optional<std::uint64_t>&, beast_error&)
        -> void override
    {}
    auto on_body_impl(beast_text body, beast_error&) -> std::size_t override
    {
        this->on_body(std::string_view(body.data(), body.size()));
        return body.size();
    }
    auto on_chunk_header_impl(std::uint64_t, beast_text, beast_error&)
        -> void override
    {}
    auto on_chunk_body_impl(std::uint64_t, beast_text body, beast_error&)
        -> std::size_t override
    {
        this->on_body(std::string_view(body.data(), body.size()));
        return body.size();
    }
    auto on_finish_impl(beast_error&) -> void override
    {}
};

/// Parses as much of \a buffer as possible and removes the parsed bytes. Beast
/// limits only the header itself: it leaves a chunk header and the trailer
/// fields in the buffer until they are complete.
/// \param largest_incomplete Bytes of an incomplete element that may remain.
template <typename Parser>
auto parse_some(Parser& parser, std::string& buffer,
                std::size_t largest_incomplete) -> std::error_code
{
    while (!buffer.empty() && !parser.is_done()) {
        auto error = beast_error();
        const auto used = parser.put(
            boost::asio::const_buffer(buffer.data(), buffer.size()), error);
        buffer.erase(0, used);
        if (error == beast_http::error::need_more) {
            return buffer.size() > largest_incomplete
                       ? make_error_code(http1_errc::header_too_large)
                       : std::error_code();
        }
        if (error) {
            return to_http1_error(error);
        }
        if (used == 0) {
            return {};
        }
    }
    return {};
}

/// \return Whether the length of the body is unambiguous. Ambiguous lengths
///         allow request smuggling.
auto has_unambiguous_framing(const header_list& headers) -> bool
{
    const auto encoding = headers.find("transfer-encoding");
    if (!headers.has("transfer-encoding")) {
        return true;
    }
    return equal_names(encoding, "chunked") && !headers.has("content-length");
}

} // namespace

auto http1_category() -> const std::error_category&
{
    static const auto category = core::table_category("http1", error_table);
    return category;
}

auto make_error_code(http1_errc code) -> std::error_code
{
    return {int(code), http1_category()};
}

struct request_parser::state
{
    parser_limits limits;
    std::string buffer;
    std::unique_ptr<hooked_parser<true>> parser;
    std::string body;
    bool has_head = false;
    bool expects_continue = false;

    auto begin() -> void
    {
        this->parser = std::make_unique<hooked_parser<true>>();
        this->parser->eager(true);
        this->parser->header_limit(this->limits.header_bytes);
        this->parser->body_limit(this->limits.body_bytes);
        this->body.clear();
        this->has_head = false;
        this->parser->on_head = [this]() {
            this->has_head = true;
            this->expects_continue = equal_names(
                this->parser->headers.find("expect"), "100-continue");
        };
        this->parser->on_body = [this](std::string_view bytes) {
            this->body += bytes;
        };
    }
};

request_parser::request_parser() : data(std::make_unique<state>())
{}

request_parser::~request_parser() = default;

auto request_parser::set_limits(const parser_limits& limits) -> void
{
    this->data->limits = limits;
}

auto request_parser::feed(std::string_view bytes) -> void
{
    this->data->buffer += bytes;
}

auto request_parser::next(std::error_code& error)
    -> std::optional<request_message>
{
    auto& current = *this->data;
    if (current.buffer.empty() && !current.parser) {
        return std::nullopt;
    }
    if (!current.parser) {
        current.begin();
    }
    error = parse_some(*current.parser, current.buffer,
                       current.limits.header_bytes);
    constexpr auto max_kept_capacity = std::size_t(16384);
    if (current.buffer.empty() &&
        current.buffer.capacity() > max_kept_capacity) {
        current.buffer = std::string();
    }
    if (!error && current.has_head &&
        !has_unambiguous_framing(current.parser->headers)) {
        error = http1_errc::malformed_message;
    }
    if (error || !current.parser->is_done()) {
        return std::nullopt;
    }
    auto request = request_message();
    request.method = std::move(current.parser->method);
    request.target = std::move(current.parser->target);
    request.headers = std::move(current.parser->headers);
    request.keep_alive = current.parser->keep_alive();
    request.body = std::move(current.body);
    current.parser.reset();
    current.expects_continue = false;
    return request;
}

auto request_parser::is_within_request() const -> bool
{
    return this->data->parser != nullptr || !this->data->buffer.empty();
}

auto request_parser::take_expect_continue() -> bool
{
    return std::exchange(this->data->expects_continue, false);
}

auto request_parser::buffered_bytes() const -> std::size_t
{
    return this->data->buffer.size();
}

auto request_parser::held_bytes() const -> std::size_t
{
    return this->data->buffer.size() + this->data->body.size();
}

struct response_parser::state
{
    hooks callbacks;
    bool has_no_body = false;
    std::string buffer;
    std::unique_ptr<hooked_parser<false>> parser;

    auto begin() -> void
    {
        this->parser = std::make_unique<hooked_parser<false>>();
        this->parser->eager(true);
        this->parser->header_limit(max_response_header_bytes);
        this->parser->body_limit(unlimited_body);
        this->parser->skip(this->has_no_body);
        this->parser->on_head = [this]() {
            if (this->parser->status < 200) {
                return;
            }
            auto head = response_head();
            head.status = this->parser->status;
            head.headers = this->parser->headers;
            head.keep_alive = this->parser->keep_alive();
            head.ends_with_connection = this->parser->need_eof();
            this->callbacks.on_head(std::move(head));
        };
        this->parser->on_body = [this](std::string_view bytes) {
            this->callbacks.on_body(bytes);
        };
    }
};

response_parser::response_parser(hooks callbacks, bool has_no_body)
    : data(std::make_unique<state>())
{
    this->data->callbacks = std::move(callbacks);
    this->data->has_no_body = has_no_body;
    this->data->begin();
}

response_parser::~response_parser() = default;

auto response_parser::feed(std::string_view bytes) -> std::error_code
{
    auto& current = *this->data;
    current.buffer += bytes;
    if (const auto error = parse_some(*current.parser, current.buffer,
                                      max_response_header_bytes)) {
        return error;
    }
    while (current.parser->is_done() && current.parser->status < 200) {
        current.begin();
        if (const auto error = parse_some(*current.parser, current.buffer,
                                          max_response_header_bytes)) {
            return error;
        }
    }
    if (current.parser->is_done() && !current.buffer.empty()) {
        return http1_errc::unexpected_bytes;
    }
    return {};
}

auto response_parser::feed_end() -> std::error_code
{
    auto& parser = *this->data->parser;
    if (parser.is_done()) {
        return {};
    }
    if (!parser.got_some()) {
        return http1_errc::truncated_message;
    }
    auto error = beast_error();
    parser.put_eof(error);
    return error ? to_http1_error(error) : std::error_code();
}

auto response_parser::is_complete() const -> bool
{
    return this->data->parser->is_done();
}

} // namespace almondtiller::http1
