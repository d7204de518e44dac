#pragma once

#include "core/clock.h"
#include "core/errc.h"
#include "core/result.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace almondtiller::tillerctl {

/// Why a node gave no answer that can be used.
enum class node_client_errc
{
    node_unreachable = 1,
    node_refused,
    malformed_answer,
};

[[nodiscard]] auto node_client_category() -> const core::table_category&;
[[nodiscard]] auto make_error_code(node_client_errc code) -> std::error_code;

/// Reads a JSON object from a node.
[[nodiscard]] auto get_json(const std::string& address, const std::string& path,
                            core::milliseconds timeout)
    -> core::result<nlohmann::json>;

/// Sends an empty POST to a node.
[[nodiscard]] auto post(const std::string& address, const std::string& path,
                        core::milliseconds timeout) -> std::error_code;

} // namespace almondtiller::tillerctl

template <>
struct std::is_error_code_enum<almondtiller::tillerctl::node_client_errc>
    : std::true_type
{};
