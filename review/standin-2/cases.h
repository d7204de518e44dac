#pragma once

#include <string>

namespace review {

/// Results of a case, which are the exit statuses of its script.
inline constexpr auto held = 0;
inline constexpr auto broken = 1;
inline constexpr auto could_not_run = 2;

/// Each runs one case, with its disruption or without it.
auto doubled_rejection(const std::string& record_path, bool trouble) -> int;
auto odd_piece_key(const std::string& record_path, bool trouble) -> int;
auto many_pieces(const std::string& record_path, bool trouble) -> int;
auto many_fields(const std::string& record_path, bool trouble) -> int;
auto odd_entry(const std::string& record_path, bool trouble) -> int;
auto slow_reader(const std::string& record_path, bool trouble) -> int;

} // namespace review
