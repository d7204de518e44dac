#include "pipeline/stream_reader.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace almondtiller::pipeline {

namespace {

const auto own = core::attempt_id("r-0-1");

auto token_event(std::uint64_t index, const std::string& id = "r-0-1")
    -> std::string
{
    return R"(data: {"attempt":")" + id + R"(","index":)" +
           std::to_string(index) + R"(,"token":"a\"}b"})" + "\n\n";
}

auto end_event(std::uint64_t tokens, const std::string& id = "r-0-1")
    -> std::string
{
    return "event: end\n" + (R"(data: {"attempt":")" + id) +
           R"(","incarnation":"i","state":"cold","tokens":)" +
           std::to_string(tokens) + R"(,"output":"x"})" + "\n\n";
}

struct reading
{
    std::vector<std::uint64_t> indices;
    std::vector<std::string> texts;
    upstream_answer answer;
    bool complete = false;
};

auto read(const std::string& text, std::uint64_t first,
          const std::vector<std::size_t>& cuts = {}) -> reading
{
    auto got = reading();
    auto reader = stream_reader(
        own, first, [&got](std::uint64_t index, std::string_view token) {
            got.indices.push_back(index);
            got.texts.emplace_back(token);
        });
    auto start = std::size_t(0);
    for (const auto cut : cuts) {
        if (cut > start && cut < text.size()) {
            if (!reader.feed(text.substr(start, cut - start))) {
                break;
            }
            start = cut;
        }
    }
    reader.feed(std::string_view(text).substr(start));
    got.answer = reader.answer();
    got.complete = reader.is_complete();
    return got;
}

} // namespace

TEST(stream_reader, reads_a_complete_stream)
{
    const auto got = read(token_event(2) + token_event(3) + end_event(4), 2);
    EXPECT_TRUE(got.complete);
    EXPECT_EQ(got.indices, (std::vector<std::uint64_t>{2, 3}));
    EXPECT_EQ(got.texts.front(), R"("a\"}b")");
    EXPECT_EQ(got.answer.tokens, 4);
    EXPECT_TRUE(got.answer.cold);
    EXPECT_EQ(got.answer.incarnation, "i");
}

TEST(stream_reader, accepts_members_in_any_order)
{
    const auto got = read(R"(data: {"token":"t","index":0,"attempt":"r-0-1"})"
                          "\n\n" +
                              end_event(1),
                          0);
    EXPECT_TRUE(got.complete);
    EXPECT_EQ(got.texts.front(), R"("t")");
}

TEST(stream_reader, detects_defects)
{
    EXPECT_EQ(read(token_event(0), 0).answer.defect, answer_defect::cut);
    EXPECT_EQ(read(token_event(0, "r-0-2"), 0).answer.defect,
              answer_defect::foreign);
    EXPECT_EQ(read(token_event(0) + end_event(1, "q"), 0).answer.defect,
              answer_defect::foreign);
    EXPECT_EQ(read(token_event(1), 0).answer.defect, answer_defect::miscount);
    EXPECT_EQ(read(token_event(0) + token_event(0), 0).answer.defect,
              answer_defect::miscount);
    EXPECT_EQ(read(token_event(0) + end_event(2), 0).answer.defect,
              answer_defect::miscount);
    EXPECT_EQ(read("data: {garbage\n\n", 0).answer.defect, answer_defect::cut);
}

RC_GTEST_PROP(stream_reader, result_does_not_depend_on_chunk_boundaries, ())
{
    const auto count = *rc::gen::inRange<std::uint64_t>(0, 20);
    auto text = std::string();
    for (auto index = std::uint64_t(0); index < count; ++index) {
        text += token_event(index);
    }
    text += end_event(count);
    auto cuts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, text.size()));
    std::ranges::sort(cuts);
    const auto got = read(text, 0, cuts);
    RC_ASSERT(got.complete);
    RC_ASSERT(got.indices.size() == count);
}

RC_GTEST_PROP(stream_reader, truncated_stream_is_never_complete, ())
{
    const auto text = token_event(0) + token_event(1) + end_event(2);
    const auto line_end = std::size_t(2);
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() - line_end);
    const auto got = read(text.substr(0, cut), 0);
    RC_ASSERT(!got.complete);
    RC_ASSERT(got.answer.defect != answer_defect::none);
}

} // namespace almondtiller::pipeline
