#pragma once

#include "standin/upstream_model.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace almondtiller::standin {

/// A request to an upstream, as a stand-in reads it.
struct run_request
{
    attempt_info info;
    std::string kind;
    bool stream = false;
    std::uint32_t tokens = 0;
    std::uint32_t resume_from = 0;
    /// Hash of the input and the request's id: what an answer is made from.
    std::string digest;
    std::string prefix_hash;
    /// The number of tokens that the input asks for, if it does; passed on in
    /// the output, so that a later stage of a pipeline sees it too.
    std::optional<std::uint32_t> wanted_tokens;
    /// JSON text of every distinct member "marker" found in the input.
    std::string markers;
};

/// Reads the body of POST /v1/run; throws nlohmann's exceptions.
/// \param default_tokens Taken unless the input has a member answer_tokens.
auto read_run_request(const std::string& body, std::uint32_t default_tokens)
    -> run_request;

/// \return The token of an answer at \a index; the same on every engine.
auto token_text(const run_request& request, std::uint32_t index) -> std::string;

/// \return The output member of the answer: what it was made from, so that
///         an answer to another request can be told.
auto output_of(const run_request& request) -> nlohmann::json;

} // namespace almondtiller::standin
