#include "gateway_world/world_caller.h"

#include <algorithm>
#include <utility>

namespace almondtiller::gateway_world {

namespace {

constexpr auto caller_patience = core::milliseconds(4000);
constexpr auto own_tokens = std::uint64_t(40);

auto is_repeatable(const std::string& path) -> bool
{
    return path == "read" || path.ends_with("resumable");
}

auto is_stream(const std::string& path) -> bool
{
    return path != "read" && path != "book";
}

/// \return Whether the body is the first part of the right answer, and only
///         complete events of a stream.
auto is_begin_of_answer(const call_record& record) -> bool
{
    const auto expected = expected_body(record.id, is_stream(record.path));
    const auto ends_within_event = is_stream(record.path) &&
                                   !record.body.empty() &&
                                   !record.body.ends_with("\n\n");
    return expected.starts_with(record.body) && !ends_within_event;
}

auto request_text(const call_record& record, const std::string& key,
                  const std::string& prompt, const std::string& body,
                  const stage_fields& stages, std::uint64_t shared_tokens)
    -> std::string
{
    auto request = http1::request_message();
    request.method = record.path == "read" ? "GET" : "POST";
    request.target = "/" + record.path + "/x";
    request.headers = {{"Host", "api.example"},
                       {"X-Almondtiller-Request-Id", record.id},
                       {"X-Almondtiller-Deadline-Ms", "3000"},
                       {"Authorization", "Bearer " + key}};
    if (is_stream(record.path)) {
        request.headers.add("X-Almondtiller-Model", "m");
        request.headers.add("X-Almondtiller-Token-Counts",
                            std::to_string(shared_tokens + own_tokens) + ",20");
        request.headers.add("X-Almondtiller-Prompt-Prefix", prompt);
    }
    if (record.path.starts_with("staged")) {
        request.headers.add("X-Almondtiller-Pieces", stages.pieces);
        if (!stages.key.empty()) {
            request.headers.add("X-Almondtiller-Piece-Key", stages.key);
        }
    }
    if (request.method == "POST") {
        request.body = body.empty() ? "body of " + record.id : body;
    }
    return http1::serialize(request);
}

} // namespace

world_caller::world_caller(world& test_world)
    : environment(test_world), pool(test_world.loop)
{}

auto world_caller::set_sessions(std::uint64_t count, std::uint64_t tokens)
    -> void
{
    this->sessions = count;
    this->shared_tokens = tokens;
}

auto world_caller::set_prompt(std::string parts) -> void
{
    this->prompt = std::move(parts);
}

auto world_caller::set_body(std::string text) -> void
{
    this->body = std::move(text);
}

auto world_caller::set_pieces(std::string counts) -> void
{
    this->stages.pieces = std::move(counts);
}

auto world_caller::set_piece_key(std::string key) -> void
{
    this->stages.key = std::move(key);
}

auto world_caller::call(const core::endpoint& front, const std::string& path,
                        const std::string& key) -> call_record&
{
    auto made = std::make_unique<call_record>();
    auto& record = *made;
    record.id = "r" + std::to_string(++this->last_number);
    record.path = path;
    record.sent = this->environment.clock.now();
    this->calls.push_back(std::move(made));
    const auto session =
        this->sessions == 0
            ? std::string("5c")
            : std::to_string(this->last_number % this->sessions);
    const auto parts = this->prompt.empty()
                           ? session + ":" +
                                 std::to_string(this->shared_tokens) +
                                 ",9b:" + std::to_string(own_tokens)
                           : this->prompt;
    auto hooks = http1::pool_hooks();
    hooks.on_head = [&record](const http1::response_head& head) {
        record.status = head.status;
        record.is_sealed = head.headers.find("X-Almondtiller-Response-Seal") ==
                           "seal-" + record.id;
        const auto after = std::string(head.headers.find("Retry-After"));
        record.retry_after = after.empty() ? -1 : std::stod(after);
    };
    hooks.on_body = [&record](std::string_view bytes) {
        record.body += bytes;
    };
    hooks.on_done = [this, &record](std::error_code error, bool) {
        record.is_done = true;
        record.ended = this->environment.clock.now();
        record.is_complete = !error;
    };
    auto options = http1::call_options();
    options.longest_idle = core::milliseconds(2000);
    this->pool.call({core::to_text(front), front},
                    request_text(record, key, parts, this->body, this->stages,
                                 this->shared_tokens),
                    options, std::move(hooks));
    return record;
}

auto world_caller::wait(const call_record& record) -> bool
{
    return this->environment.run_until([&record]() { return record.is_done; },
                                       caller_patience);
}

auto world_caller::violations() const -> std::vector<std::string>
{
    auto found = this->environment.journal.violations;
    auto runs = std::map<std::string, int>();
    for (const auto& run : this->environment.journal.runs) {
        ++runs[run.request];
    }
    for (const auto& record : this->calls) {
        const auto ran = runs.contains(record->id) ? runs[record->id] : 0;
        const auto is_refusal = record->status == 503 ||
                                record->status == 429 ||
                                record->status == 421 || record->status == 408;
        if (!is_repeatable(record->path) && ran > 1) {
            found.push_back(record->id + " (" + record->path + ") ran twice");
        }
        if (!is_repeatable(record->path) && is_refusal && ran > 0) {
            found.push_back(record->id + " was refused and ran");
        }
        if (record->status == 200 && record->is_complete &&
            (!record->is_sealed ||
             record->body !=
                 expected_body(record->id, is_stream(record->path)))) {
            found.push_back(record->id + " (" + record->path +
                            ") got a wrong answer: " + record->body);
        }
        if (record->status == 200 && !record->is_complete &&
            !is_begin_of_answer(*record)) {
            found.push_back(record->id + " (" + record->path +
                            ") got a wrong part of an answer: " + record->body);
        }
    }
    return found;
}

auto world_caller::records() const
    -> const std::vector<std::unique_ptr<call_record>>&
{
    return this->calls;
}

auto world_caller::succeeded() const -> std::size_t
{
    return std::size_t(std::count_if(
        this->calls.begin(), this->calls.end(), [](const auto& record) {
            return record->status == 200 && record->is_complete;
        }));
}

} // namespace almondtiller::gateway_world
