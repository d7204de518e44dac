#pragma once

#include "core/result.h"
#include "platform/object_store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondtiller::platform {

/// Decoders of the platform's JSON responses. Each fails with
/// platform_errc::malformed_answer if the response is invalid.
/// docs/PROTOCOLS.md describes the format.
[[nodiscard]] auto decode_version(const std::string& text)
    -> core::result<std::uint64_t>;
[[nodiscard]] auto decode_object(const std::string& text)
    -> core::result<object>;
[[nodiscard]] auto decode_list(const std::string& text)
    -> core::result<object_list>;
[[nodiscard]] auto decode_watch(const std::string& text)
    -> core::result<watch_batch>;
[[nodiscard]] auto decode_instances(const std::string& text)
    -> core::result<std::vector<instance>>;

} // namespace almondtiller::platform
