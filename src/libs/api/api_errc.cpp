#include "api/api_errc.h"

#include <array>

namespace almondtiller::api {

namespace {

using core::error_entry;

constexpr auto entries = std::array{
    error_entry{int(api_errc::malformed_json), "malformed_json",
                "the body is not a JSON object"},
    error_entry{int(api_errc::wrong_type), "wrong_type",
                "a member has the wrong type"},
    error_entry{int(api_errc::missing_member), "missing_member",
                "a required member is missing or empty"},
    error_entry{int(api_errc::invalid_deadline), "invalid_deadline",
                "deadline_ms must be a positive whole number"},
    error_entry{int(api_errc::invalid_priority), "invalid_priority",
                "priority must be interactive, normal or batch"},
    error_entry{int(api_errc::invalid_idempotency_key),
                "invalid_idempotency_key",
                "idempotency_key must have 1 to 256 characters"},
    error_entry{int(api_errc::body_too_large), "body_too_large",
                "the body is larger than the node accepts"},
    error_entry{int(api_errc::unknown_pipeline), "unknown_pipeline",
                "no pipeline of this name is declared"},
    error_entry{int(api_errc::unknown_workspace), "unknown_workspace",
                "no workspace of this name is declared"},
    error_entry{int(api_errc::idempotency_key_required),
                "idempotency_key_required",
                "the pipeline has a stage that is not idempotent"},
    error_entry{int(api_errc::in_progress), "in_progress",
                "a request with this idempotency key is under way"},
    error_entry{int(api_errc::outcome_unknown), "outcome_unknown",
                "the request was sent and its outcome is not known"},
    error_entry{int(api_errc::no_configuration), "no_configuration",
                "the node has no configuration yet"},
    error_entry{int(api_errc::node_isolated), "node_isolated",
                "the node has heard nothing of the others for too long"},
    error_entry{int(api_errc::node_leaving), "node_leaving",
                "the node is leaving; use another address"},
    error_entry{int(api_errc::upstream_failed), "upstream_failed",
                "the attempts at a stage failed"},
    error_entry{int(api_errc::stream_broken), "stream_broken",
                "the stream broke and could not be resumed"},
    error_entry{int(api_errc::deadline_exceeded), "deadline_exceeded",
                "the deadline passed"},
    error_entry{int(api_errc::caller_gone), "caller_gone",
                "the caller closed the connection"},
    error_entry{int(api_errc::not_found), "not_found",
                "there is no such resource"},
    error_entry{int(api_errc::overloaded), "overloaded",
                "the node serves as many connections as it may"},
    error_entry{int(api_errc::internal_error), "internal_error",
                "the node failed"},
};

} // namespace

auto api_category() -> const core::table_category&
{
    static const auto category = core::table_category("api", entries);
    return category;
}

auto make_error_code(api_errc code) -> std::error_code
{
    return {int(code), api_category()};
}

} // namespace almondtiller::api
