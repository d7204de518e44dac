#pragma once

#include "core/ids.h"
#include "pipeline/upstream_answer.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace almondtiller::pipeline {

/// Reads an upstream's event stream piece by piece and checks it: every event
/// carries the attempt's own id, indices follow each other, and the end says
/// how many tokens there were.
class stream_reader
{
public:
    /// Gets each token in order, once; \a text is a JSON string with its
    /// quotation marks, valid during the call.
    using token_handler =
        std::function<void(std::uint64_t index, std::string_view text)>;

    /// \param first The index of the first token that is expected.
    stream_reader(core::attempt_id attempt, std::uint64_t first,
                  token_handler handle);

    /// Takes the next piece of the stream, cut anywhere.
    /// \return False when the stream is defective; nothing more is read.
    auto feed(std::string_view piece) -> bool;

    /// Whether the last event was read.
    [[nodiscard]] auto is_complete() const -> bool;

    /// \return What the stream amounts to; answer_defect::cut before its end.
    [[nodiscard]] auto answer() const -> upstream_answer;

private:
    auto read_line(std::string_view line) -> bool;
    auto read_token(std::string_view data) -> bool;
    auto read_token_slowly(std::string_view data) -> bool;
    auto accept_token(std::uint64_t index, std::string_view text) -> bool;
    auto read_end(std::string_view data) -> bool;
    auto fail(answer_defect defect) -> bool;

    core::attempt_id attempt;
    std::string token_prefix;
    std::uint64_t next;
    token_handler handle;
    std::string pending;
    bool at_end_event = false;
    bool complete = false;
    upstream_answer result;
};

} // namespace almondtiller::pipeline
