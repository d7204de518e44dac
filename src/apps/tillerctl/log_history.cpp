#include "tillerctl/log_history.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace almondtiller::tillerctl {

namespace {

/// A change of belief that long before a request may have decided it.
constexpr auto belief_window_ms = std::int64_t(3000);

constexpr auto final_events = std::array<std::string_view, 6>{
    "answered", "refused", "failed", "broken_off", "caller_gone", "rejected"};
/// Changes of what a node believes of itself and of others.
constexpr auto node_events =
    std::array<std::string_view, 14>{"configuration_in_force",
                                     "adopted_from_peer",
                                     "store_lost",
                                     "store_regained",
                                     "peer_lost",
                                     "dispatch_owner_lost",
                                     "evacuated_zones",
                                     "rollout_directive",
                                     "rollout_applied",
                                     "rollout_ended",
                                     "leaving",
                                     "not_ready",
                                     "started",
                                     "reloaded"};
constexpr auto upstream_events = std::array<std::string_view, 6>{
    "upstream_changed", "upstream_removed",     "upstream_limited",
    "upstream_speed",   "upstream_limit_ended", "stage_call_failed"};

/// Names the line that decides an end, and says why it does.
struct reason_row
{
    std::string_view reason;
    /// Event of the deciding line; the last one before the end counts.
    std::string_view event;
    std::string_view cause;
};

constexpr auto reasons = std::array{
    reason_row{"stage_overloaded", "stage_refused",
               "More work waited before a stage than its upstreams could do in "
               "the time that was left."},
    reason_row{"stage_failed", "refused",
               "No upstream of a stage could take the work."},
    reason_row{"results_lost", "refused",
               "Results of a stage were lost more often than the request may "
               "begin again; an upstream of that stage went away."},
    reason_row{"no_upstream", "placement_refused",
               "No upstream of the service was usable and had room in time."},
    reason_row{"request_too_large", "refused",
               "The prompt and the output need more memory than an upstream of "
               "the service has."},
    reason_row{"no_piece_key", "failed",
               "The request has pieces of a stage and no piece key."},
    reason_row{"turned_away", "turned_away",
               "Several upstreams in turn said that they had no room."},
    reason_row{"upstream_broke_off", "attempt_broken",
               "The upstream took the request and broke the connection, and "
               "the request may not be sent again."},
    reason_row{"refused_after_run", "refusal_withheld",
               "The upstream answered with a status that says not run, without "
               "stating that it has not run the request."},
    reason_row{"no_upstream_for_repeat", "attempt_broken",
               "The upstream failed, and no other one or no retry budget was "
               "left."},
    reason_row{"no_upstream_to_resume", "attempt_broken",
               "The stream broke off, and no other upstream could go on."},
    reason_row{"time_over", "sent",
               "The upstream did not answer before the request's time ended."},
    reason_row{"node_stops", "leaving",
               "The node left before the request had ended."},
    reason_row{"caller_left", "caller_gone",
               "The caller closed its connection before the answer."},
    reason_row{"upstream_error", "answered",
               "The upstream itself answered with that status."},
    reason_row{"success", "answered", "The request was served."},
    reason_row{"not_ready", "rejected",
               "The node knew no configuration yet, or was leaving."},
};

template <std::size_t Size>
auto contains(const std::array<std::string_view, Size>& names,
              std::string_view name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto to_number(std::string_view text) -> std::optional<std::int64_t>
{
    auto value = std::int64_t(0);
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const auto is_whole =
        error == std::errc() && end == text.data() + text.size();
    return is_whole ? std::optional(value) : std::nullopt;
}

/// Takes the next `key=value` off the text; a value may be quoted.
auto take_field(std::string_view& text)
    -> std::optional<std::pair<std::string, std::string>>
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const auto equals = text.find('=');
    if (equals == std::string_view::npos) {
        return std::nullopt;
    }
    auto key = std::string(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    const auto is_quoted = text.starts_with('"');
    if (is_quoted) {
        text.remove_prefix(1);
    }
    const auto end = std::min(text.find(is_quoted ? '"' : ' '), text.size());
    auto value = std::string(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return std::pair(std::move(key), std::move(value));
}

auto set_wall_times(std::vector<log_line>& lines) -> void
{
    auto offsets = std::map<std::string, std::int64_t>();
    const auto learn = [&offsets](const log_line& line) {
        if (const auto wall = line.number("wall_ms")) {
            offsets[line.node] = *wall - line.steady_ms;
        }
    };
    // Lines before a node's first clock line use that one.
    std::for_each(lines.rbegin(), lines.rend(), learn);
    for (auto& line : lines) {
        learn(line);
        const auto offset = offsets.find(line.node);
        if (offset != offsets.end()) {
            line.wall_ms = line.steady_ms + offset->second;
        }
    }
}

auto time_of(const log_line& line) -> std::int64_t
{
    return line.wall_ms.value_or(line.steady_ms);
}

/// Where a request was and when, as its own lines tell.
struct request_trace
{
    std::set<std::string> nodes;
    std::set<std::string> upstreams;
    std::set<std::string> services;
    std::int64_t first = 0;
    std::int64_t last = 0;
};

auto trace_of(const std::vector<log_line>& own) -> request_trace
{
    auto trace = request_trace();
    trace.first = time_of(own.front());
    trace.last = time_of(own.back());
    for (const auto& line : own) {
        trace.nodes.insert(line.node);
        trace.upstreams.insert(line.field("upstream"));
        trace.services.insert(line.field("service"));
        // The line of a request's end tells when it began.
        const auto elapsed = line.number("elapsed_ms").value_or(0);
        trace.first = std::min(trace.first, time_of(line) - elapsed);
    }
    trace.upstreams.erase("");
    trace.services.erase("");
    return trace;
}

auto is_related(const log_line& line, const request_trace& trace) -> bool
{
    const auto time = time_of(line);
    if (time < trace.first - belief_window_ms || time > trace.last) {
        return false;
    }
    if (contains(node_events, line.event)) {
        return trace.nodes.contains(line.node);
    }
    return contains(upstream_events, line.event) &&
           (trace.upstreams.contains(line.field("upstream")) ||
            (line.event == "stage_call_failed" &&
             trace.services.contains(line.field("service"))));
}

auto find_last(const std::vector<log_line>& lines, std::size_t before,
               std::string_view event, const std::string& request)
    -> std::optional<std::size_t>
{
    for (auto index = before + 1; index-- > 0;) {
        const auto& line = lines[index];
        const auto is_other =
            !line.field("request").empty() && line.field("request") != request;
        if (line.event == event && !is_other) {
            return index;
        }
    }
    return std::nullopt;
}

auto decide(request_history& history, const std::string& request) -> void
{
    auto end = std::optional<std::size_t>();
    for (auto index = std::size_t(0); index < history.lines.size(); ++index) {
        const auto& line = history.lines[index];
        if (contains(final_events, line.event) &&
            line.field("request") == request) {
            end = index;
        }
    }
    if (!end) {
        history.cause = "The request's end is not in these logs; the node may "
                        "have been killed, or its lines were dropped.";
        return;
    }
    const auto reason = history.lines[*end].field("reason");
    history.deciding = end;
    history.cause = "It ended for the reason \"" + reason + "\".";
    for (const auto& row : reasons) {
        if (row.reason == reason) {
            history.cause = row.cause;
            history.deciding =
                find_last(history.lines, *end, row.event, request)
                    .value_or(*end);
        }
    }
    if (reason == "time_over" && history.lines[*end].field("attempts") == "0") {
        history.deciding = end;
        history.cause = "The request's time ended while it waited for a stage "
                        "or for an upstream.";
    }
}

} // namespace

auto log_line::field(const std::string& name) const -> std::string
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
}

auto log_line::number(const std::string& name) const
    -> std::optional<std::int64_t>
{
    return to_number(this->field(name));
}

auto parse_log_line(std::string_view text) -> std::optional<log_line>
{
    constexpr auto first_key = std::string_view("ms=");
    auto start = text.find(first_key);
    while (start != std::string_view::npos && start > 0 &&
           text[start - 1] != ' ') {
        start = text.find(first_key, start + 1);
    }
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(start);
    auto line = log_line();
    while (auto field = take_field(text)) {
        line.fields.insert(std::move(*field));
    }
    const auto time = line.number("ms");
    line.node = line.field("node");
    line.event = line.field("event");
    if (!time || line.node.empty() || line.event.empty()) {
        return std::nullopt;
    }
    line.steady_ms = *time;
    for (const auto* name : {"ms", "node", "event"}) {
        line.fields.erase(name);
    }
    return line;
}

auto read_log(std::istream& input) -> std::vector<log_line>
{
    auto lines = std::vector<log_line>();
    auto text = std::string();
    while (std::getline(input, text)) {
        if (auto line = parse_log_line(text)) {
            lines.push_back(std::move(*line));
        }
    }
    set_wall_times(lines);
    return lines;
}

auto explain_request(const std::string& request, std::vector<log_line> lines)
    -> std::optional<request_history>
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& left, const auto& right) {
                         return time_of(left) < time_of(right);
                     });
    auto own = std::vector<log_line>();
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(own),
                 [&request](const auto& line) {
                     return line.field("request") == request;
                 });
    if (own.empty()) {
        return std::nullopt;
    }
    const auto trace = trace_of(own);
    auto history = request_history();
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(history.lines),
                 [&](const auto& line) {
                     return line.field("request") == request ||
                            is_related(line, trace);
                 });
    decide(history, request);
    return history;
}

} // namespace almondtiller::tillerctl
