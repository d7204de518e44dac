#pragma once

#include "claims/claims.h"
#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <string>

namespace almondtiller::services {

/// Topics between the node that wants a claim and the owner of its bucket.
constexpr auto claim_want_topic = "claim-want";
constexpr auto claim_decided_topic = "claim-decided";
constexpr auto claim_end_topic = "claim-end";
constexpr auto claim_recorded_topic = "claim-recorded";

/// Asks the owner to decide a claim. Deadlines travel as time left.
struct want_message
{
    claims::claim_wanted wanted; ///< Its deadline is not transmitted.
    core::milliseconds time_left{};

    auto operator==(const want_message&) const -> bool = default;
};

/// Tells the node that wanted a claim what came of it.
struct decided_message
{
    std::string key;
    claims::claim_decided decided;

    auto operator==(const decided_message&) const -> bool = default;
};

/// Tells the owner how an execution ended.
struct end_message
{
    std::string key;
    claims::claim_record record;

    auto operator==(const end_message&) const -> bool = default;
};

/// CBOR codecs; decoders fail with fleet_errc::malformed_message.
[[nodiscard]] auto encode(const want_message& message) -> std::string;
[[nodiscard]] auto encode(const decided_message& message) -> std::string;
[[nodiscard]] auto encode(const end_message& message) -> std::string;
[[nodiscard]] auto decode_want(const std::string& body)
    -> core::result<want_message>;
[[nodiscard]] auto decode_decided(const std::string& body)
    -> core::result<decided_message>;
[[nodiscard]] auto decode_end(const std::string& body)
    -> core::result<end_message>;

} // namespace almondtiller::services
