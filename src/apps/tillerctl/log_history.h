#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondtiller::tillerctl {

/// One structured line of a node's log.
struct log_line
{
    std::string node;
    std::string event;
    /// Steady milliseconds of the node.
    std::int64_t steady_ms = 0;
    /// Milliseconds since 1970; none while the node's clock is unknown.
    std::optional<std::int64_t> wall_ms;
    std::map<std::string, std::string> fields;

    [[nodiscard]] auto field(const std::string& name) const -> std::string;
    /// Null where the field is missing or no number.
    [[nodiscard]] auto number(const std::string& name) const
        -> std::optional<std::int64_t>;

    auto operator==(const log_line&) const -> bool = default;
};

/// \param text What comes before the first known field, as a collector's own
///     time, is skipped.
/// \return Nothing when the text is no line of a node.
[[nodiscard]] auto parse_log_line(std::string_view text)
    -> std::optional<log_line>;

/// Reads a log of one or more nodes. Steady times are mapped to the time of
/// day by the nodes' own `clock` lines.
[[nodiscard]] auto read_log(std::istream& input) -> std::vector<log_line>;

/// What happened to one request.
struct request_history
{
    /// The lines that name the request, and changes of what the nodes that
    /// served it or the upstreams that it reached were believed to be, in the
    /// order of time.
    std::vector<log_line> lines;
    /// Index of the line that decided how the request ended; none while its
    /// end is not among the lines.
    std::optional<std::size_t> deciding;
    /// Why it ended so, one sentence.
    std::string cause;
};

/// \return Nothing when no line names the request.
[[nodiscard]] auto explain_request(const std::string& request,
                                   std::vector<log_line> lines)
    -> std::optional<request_history>;

} // namespace almondtiller::tillerctl
