#include "claims/claims_errc.h"

#include <array>

namespace almondtiller::claims {

namespace {

using core::error_entry;

constexpr auto entries = std::array{
    error_entry{int(claims_errc::store_unavailable), "store_unavailable",
                "the claim could not be written because the platform's store "
                "is not available"},
    error_entry{int(claims_errc::deadline_passed), "claim_deadline_passed",
                "the deadline passed before the claim was settled"},
    error_entry{int(claims_errc::key_reused), "idempotency_key_reused",
                "the idempotency key was used before with another request"},
    error_entry{int(claims_errc::bucket_full), "claim_bucket_full",
                "the claim's bucket holds as many claims as it can"},
    error_entry{int(claims_errc::unknown_claim), "unknown_claim",
                "no such claim is held by this node"},
    error_entry{int(claims_errc::shutting_down), "claims_shutting_down",
                "the node is shutting down"},
};

} // namespace

auto claims_category() -> const core::table_category&
{
    static const auto category = core::table_category("claims", entries);
    return category;
}

auto make_error_code(claims_errc code) -> std::error_code
{
    return {int(code), claims_category()};
}

} // namespace almondtiller::claims
