#include "http1/parser.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <array>
#include <functional>

namespace almondtiller::http1 {
namespace {

struct read_answer
{
    std::optional<response_head> head;
    std::string body;
};

auto make_parser(read_answer& result) -> std::unique_ptr<response_parser>
{
    return std::make_unique<response_parser>(
        response_parser::hooks{
            [&result](response_head head) { result.head = std::move(head); },
            [&result](std::string_view bytes) {
                result.body += bytes;
            }},
        false);
}

auto parse_error(std::string_view text) -> std::error_code
{
    auto parser = request_parser();
    parser.feed(text);
    auto error = std::error_code();
    parser.next(error);
    return error;
}

constexpr auto post = std::string_view("POST /a/b?c=d HTTP/1.1\r\n"
                                       "Host: one.example\r\n"
                                       "Content-Length: 5\r\n\r\nhello");
constexpr auto chunked =
    std::string_view("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");

/// The begin of a chunk header, and of the trailer fields.
constexpr auto endless_starts =
    std::array{std::string_view("5;"), std::string_view("0\r\nField: ")};

/// \return The number of bytes, in steps of 256, after which \a feed reports a
///         header that is too large; 0 if it accepts 64 KB.
auto bytes_until_too_large(
    const std::function<std::error_code(std::string_view)>& feed) -> std::size_t
{
    constexpr auto most = std::size_t(65536);
    const auto part = std::string(256, 'a');
    for (auto size = part.size(); size <= most; size += part.size()) {
        if (feed(part) == http1_errc::header_too_large) {
            return size;
        }
    }
    return 0;
}

} // namespace

TEST(request_parser, reads_requests_one_after_another)
{
    auto parser = request_parser();
    parser.feed(post);
    parser.feed("GET /next HTTP/1.1\r\nHost: two.example\r\n\r\n");
    auto error = std::error_code();
    const auto first = parser.next(error);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->method, "POST");
    EXPECT_EQ(first->target, "/a/b?c=d");
    EXPECT_EQ(first->body, "hello");
    EXPECT_EQ(first->headers.find("HOST"), "one.example");
    const auto second = parser.next(error);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->target, "/next");
    EXPECT_FALSE(parser.is_within_request());
}

TEST(request_parser, rejects_bodies_of_ambiguous_length)
{
    EXPECT_TRUE(parse_error("POST / HTTP/1.1\r\nHost: a\r\n"
                            "Content-Length: 4\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"));
    EXPECT_TRUE(parse_error("POST / HTTP/1.1\r\nHost: a\r\n"
                            "Transfer-Encoding: gzip, chunked\r\n\r\n"));
    EXPECT_TRUE(parse_error("POST / HTTP/1.1\r\nHost: a\r\n"
                            "Content-Length: 4\r\n"
                            "Content-Length: 5\r\n\r\nabcd"));
}

TEST(request_parser, bounds_headers_and_bodies)
{
    auto parser = request_parser();
    parser.set_limits({64, 4});
    parser.feed("GET / HTTP/1.1\r\nHost: " + std::string(100, 'a') +
                "\r\n\r\n");
    auto error = std::error_code();
    EXPECT_FALSE(parser.next(error));
    EXPECT_EQ(error, http1_errc::header_too_large);

    auto other = request_parser();
    other.set_limits({1024, 4});
    other.feed(post);
    error = {};
    EXPECT_FALSE(other.next(error));
    EXPECT_EQ(error, http1_errc::body_too_large);
}

// A caller that sends a chunk header or trailer fields without end must not
// fill the memory of the node.
TEST(request_parser, bounds_chunk_headers_and_trailers)
{
    for (const auto& start : endless_starts) {
        auto parser = request_parser();
        parser.set_limits({1024, 4096});
        parser.feed("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n" +
                    std::string(start));
        const auto feed = [&parser](std::string_view bytes) {
            auto error = std::error_code();
            parser.feed(bytes);
            parser.next(error);
            return error;
        };
        EXPECT_EQ(bytes_until_too_large(feed), 1024) << start;
    }
}

RC_GTEST_PROP(request_parser, reads_the_same_in_any_pieces,
              (std::vector<std::uint8_t> sizes))
{
    auto parser = request_parser();
    auto left = post;
    auto error = std::error_code();
    auto read = std::optional<request_message>();
    for (const auto size : sizes) {
        const auto taken = std::min<std::size_t>(size % 20, left.size());
        parser.feed(left.substr(0, taken));
        left.remove_prefix(taken);
        if (!read) {
            read = parser.next(error);
        }
    }
    parser.feed(left);
    if (!read) {
        read = parser.next(error);
    }
    RC_ASSERT(!error);
    RC_ASSERT(read->body == "hello");
}

RC_GTEST_PROP(request_parser, survives_any_bytes, (const std::string& bytes))
{
    auto parser = request_parser();
    parser.feed(bytes);
    auto error = std::error_code();
    for (auto turn = 0; turn < 4 && !error; ++turn) {
        parser.next(error);
    }
}

TEST(response_parser, reads_chunks_incrementally)
{
    auto answer = read_answer();
    const auto parser = make_parser(answer);
    for (const auto byte : chunked) {
        ASSERT_FALSE(parser->feed(std::string_view(&byte, 1)));
    }
    EXPECT_TRUE(parser->is_complete());
    EXPECT_EQ(answer.body, "hello world");
}

// A faulty upstream that sends a chunk header or trailer fields without end
// must not fill the memory of the node.
TEST(response_parser, bounds_chunk_headers_and_trailers)
{
    for (const auto& start : endless_starts) {
        auto answer = read_answer();
        const auto parser = make_parser(answer);
        ASSERT_FALSE(
            parser->feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n" +
                         std::string(start)));
        const auto feed = [&parser](std::string_view bytes) {
            return parser->feed(bytes);
        };
        EXPECT_EQ(bytes_until_too_large(feed), 8192) << start;
    }
}

TEST(response_parser, reports_bytes_after_the_response)
{
    auto answer = read_answer();
    const auto parser = make_parser(answer);
    EXPECT_EQ(parser->feed(std::string(chunked) + "HTTP/1.1 200 OK\r\n"),
              http1_errc::unexpected_bytes);
    EXPECT_TRUE(parser->is_complete());
}

TEST(response_parser, ends_a_response_without_length_at_connection_end)
{
    auto answer = read_answer();
    const auto parser = make_parser(answer);
    ASSERT_FALSE(parser->feed("HTTP/1.1 200 OK\r\n\r\npart"));
    EXPECT_TRUE(answer.head->ends_with_connection);
    EXPECT_FALSE(parser->is_complete());
    EXPECT_FALSE(parser->feed_end());
    EXPECT_TRUE(parser->is_complete());
    EXPECT_EQ(answer.body, "part");
}

TEST(response_parser, reports_a_truncated_response)
{
    auto answer = read_answer();
    const auto parser = make_parser(answer);
    ASSERT_FALSE(
        parser->feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"));
    EXPECT_EQ(parser->feed_end(), http1_errc::truncated_message);
}

TEST(response_parser, skips_interim_responses)
{
    auto answer = read_answer();
    const auto parser = make_parser(answer);
    ASSERT_FALSE(parser->feed("HTTP/1.1 100 Continue\r\n\r\n"));
    EXPECT_FALSE(answer.head);
    ASSERT_FALSE(parser->feed("HTTP/1.1 204 No Content\r\n\r\n"));
    EXPECT_EQ(answer.head->status, 204);
}

// Guards against a caller that gets a status which is none, or waits for the
// answer after one that is taken for an interim response.
TEST(response_parser, rejects_invalid_statuses)
{
    for (const auto* status : {"000", "099", "101", "600", "999"}) {
        auto answer = read_answer();
        const auto parser = make_parser(answer);
        EXPECT_EQ(parser->feed("HTTP/1.1 " + std::string(status) +
                               " X\r\nContent-Length: 0\r\n\r\n"),
                  http1_errc::malformed_message)
            << status;
        EXPECT_FALSE(answer.head) << status;
    }
}

TEST(message, recognizes_hop_by_hop_fields)
{
    const auto headers = header_list{{"Connection", "close, X-Hop"}};
    EXPECT_TRUE(is_hop_by_hop("x-hop", headers));
    EXPECT_TRUE(is_hop_by_hop("Transfer-Encoding", headers));
    EXPECT_FALSE(is_hop_by_hop("X-Other", headers));
}

} // namespace almondtiller::http1
