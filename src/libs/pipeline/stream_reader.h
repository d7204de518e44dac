#pragma once

#include "core/ids.h"
#include "pipeline/upstream_answer.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace almondtiller::pipeline {

/// Incrementally parses and checks an upstream's event stream: every event has
/// the attempt's id, token indices are consecutive, and the end event states
/// the number of tokens.
class stream_reader
{
public:
    /// Called once per token, in order. \a text is a JSON string including its
    /// quotation marks and is valid only during the call.
    using token_handler =
        std::function<void(std::uint64_t index, std::string_view text)>;

    /// \param first Index of the first expected token.
    stream_reader(core::attempt_id attempt, std::uint64_t first,
                  token_handler handle);

    /// Parses the next chunk of the stream, which may end at any byte.
    /// \return False if the stream is defective; the rest of \a piece is not
    ///         parsed.
    auto feed(std::string_view piece) -> bool;

    /// \return Whether the end event was read.
    [[nodiscard]] auto is_complete() const -> bool;

    /// \return The answer after the end event; before it, an answer with
    ///         answer_defect::cut; after a failure, one with its defect.
    [[nodiscard]] auto answer() const -> upstream_answer;

private:
    auto read_line(std::string_view line) -> bool;
    auto read_token(std::string_view data) -> bool;
    auto read_token_json(std::string_view data) -> bool;
    auto accept_token(std::uint64_t index, std::string_view text) -> bool;
    auto read_end(std::string_view data) -> bool;
    auto fail(answer_defect defect) -> bool;

    core::attempt_id attempt;
    std::string token_prefix;
    std::uint64_t next_index;
    token_handler handle;
    std::string partial_line;
    bool in_end_event = false;
    bool complete = false;
    upstream_answer result;
};

} // namespace almondtiller::pipeline
