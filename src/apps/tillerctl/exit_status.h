#pragma once

namespace almondtiller::tillerctl {

/// The exit statuses of tillerctl; scripts may rely on them.
enum class exit_status
{
    success = 0,
    failure = 1,         ///< Invalid declarations, or nothing of that name.
    usage = 2,           ///< Unknown command, flag or argument.
    not_applied = 3,     ///< The change was refused; nothing has changed.
    unknown = 4,         ///< The change may or may not have been accepted.
    not_in_force = 5,    ///< Accepted, but not in force on every node in time.
    unreachable = 6,     ///< The platform or the node could not be reached.
    has_differences = 7, ///< diff found differences.
};

/// The same list, as the help shows it.
constexpr auto exit_status_help = R"(
Exit statuses
  0  success
  1  invalid declarations, or nothing of that name
  2  unknown command, flag or argument
  3  the change was refused; nothing has changed
  4  the change may or may not have been accepted
  5  accepted, but not in force on every node in time
  6  the platform or the node could not be reached
  7  diff found differences
)";

} // namespace almondtiller::tillerctl
