#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"

#include <string>
#include <variant>

namespace almondtiller::services {

/// Who wants to execute which non-idempotent request.
struct claim_request
{
    core::workspace_name workspace;
    std::string idempotency_key; ///< Never empty.
    core::request_id request;
    /// Hash of what is to be executed; the same key with another hash is an
    /// error of the caller.
    std::string fingerprint;
    core::time_point deadline;

    auto operator==(const claim_request&) const -> bool = default;
};

/// The caller may dispatch, once, and must then call finish().
struct claim_granted
{
    std::string claim; ///< Passed to finish().

    auto operator==(const claim_granted&) const -> bool = default;
};

/// An earlier request has this key and a recorded answer.
struct claim_replayed
{
    std::string answer; ///< As it was passed to finish().

    auto operator==(const claim_replayed&) const -> bool = default;
};

/// An earlier request has this key and is under way.
struct claim_in_progress
{
    auto operator==(const claim_in_progress&) const -> bool = default;
};

/// An earlier request has this key and its outcome is not known.
struct claim_outcome_unknown
{
    auto operator==(const claim_outcome_unknown&) const -> bool = default;
};

using claim_decision = std::variant<claim_granted, claim_replayed,
                                    claim_in_progress, claim_outcome_unknown>;

/// How an execution under a claim ended.
enum class claim_end
{
    completed, ///< With an answer.
    not_run,   ///< Proven not started; the key may be used again.
    unknown,   ///< Bytes went out and no answer came.
};

/// Lets each idempotency key of a workspace be executed at most once over all
/// nodes. Implemented by the service "claims". Calls block.
class claim_registry
{
public:
    claim_registry() = default;
    virtual ~claim_registry() = default;
    claim_registry(const claim_registry&) = delete;
    auto operator=(const claim_registry&) -> claim_registry& = delete;

    /// Claims a key before the dispatch. Every error means that nothing may
    /// be dispatched and that the request was not run.
    virtual auto acquire(const claim_request& request)
        -> core::result<claim_decision> = 0;

    /// Records how a granted claim ended, without waiting for the store. Until
    /// the record is there, repeats get claim_in_progress.
    /// \return claims_errc::unknown_claim when the claim is not held here.
    virtual auto finish(const std::string& claim, claim_end end,
                        const std::string& answer) -> std::error_code = 0;
};

/// The name of the service that implements claim_registry.
constexpr auto claims_service_name = "claims";

} // namespace almondtiller::services
