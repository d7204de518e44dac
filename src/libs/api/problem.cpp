#include "api/problem.h"

#include "api/api_errc.h"

#include <nlohmann/json.hpp>

namespace almondtiller::api {

namespace {

constexpr auto bad_request = 400;
constexpr auto not_found_status = 404;
constexpr auto conflict = 409;
constexpr auto too_large = 413;
constexpr auto unprocessable = 422;
constexpr auto too_many_requests = 429;
constexpr auto client_closed_request = 499;
constexpr auto internal_error_status = 500;
constexpr auto bad_gateway = 502;
constexpr auto unavailable = 503;
constexpr auto gateway_timeout = 504;

auto api_status(api_errc code) -> int
{
    switch (code) {
    case api_errc::malformed_json:
    case api_errc::wrong_type:
    case api_errc::missing_member:
    case api_errc::invalid_deadline:
    case api_errc::invalid_priority:
    case api_errc::invalid_idempotency_key:
    case api_errc::idempotency_key_required:
        return bad_request;
    case api_errc::body_too_large:
        return too_large;
    case api_errc::unknown_pipeline:
    case api_errc::unknown_workspace:
    case api_errc::not_found:
        return not_found_status;
    case api_errc::in_progress:
        return conflict;
    case api_errc::outcome_unknown:
    case api_errc::upstream_failed:
    case api_errc::stream_broken:
        return bad_gateway;
    case api_errc::deadline_exceeded:
        return gateway_timeout;
    case api_errc::caller_gone:
        return client_closed_request;
    case api_errc::no_configuration:
    case api_errc::node_isolated:
    case api_errc::node_leaving:
    case api_errc::overloaded:
        return unavailable;
    case api_errc::internal_error:
        break;
    }
    return internal_error_status;
}

auto milliseconds_of(core::duration time) -> std::int64_t
{
    return std::chrono::ceil<core::milliseconds>(time).count();
}

} // namespace

auto to_string(failed_outcome outcome) -> std::string
{
    switch (outcome) {
    case failed_outcome::not_run:
        return "not_run";
    case failed_outcome::unknown:
        return "unknown";
    case failed_outcome::partial:
        return "partial";
    }
    return "unknown";
}

auto status_of(const problem& described) -> int
{
    if (described.code.category() == api_category()) {
        return api_status(api_errc(described.code.value()));
    }
    const auto name = core::error_name(described.code);
    if (name == "queue_full" || name == "workspace_limit") {
        return too_many_requests;
    }
    if (name == "key_reused") {
        return unprocessable;
    }
    if (name == "deadline_passed") {
        return gateway_timeout;
    }
    return unavailable;
}

auto retry_after_seconds(const problem& described) -> long
{
    return std::chrono::ceil<std::chrono::seconds>(described.retry_after)
        .count();
}

auto to_json(const problem& described) -> std::string
{
    const auto name = core::error_name(described.code);
    auto document = nlohmann::json{
        {"type", "urn:almondtiller:problem:" + name},
        {"title", described.code.message()},
        {"status", status_of(described)},
        {"detail", described.code.message()},
        {"request", described.request.str()},
        {"code", name},
        {"outcome", to_string(described.outcome)},
    };
    if (described.retry_after > core::duration::zero()) {
        document["retry_after_ms"] = milliseconds_of(described.retry_after);
    }
    if (!described.endpoints.empty()) {
        document["endpoints"] = described.endpoints;
    }
    return document.dump();
}

} // namespace almondtiller::api
