#pragma once

#include "world.h"

namespace review {

/// Result of a case: the exit status of its script.
enum class outcome
{
    held = 0,
    broken = 1,
    could_not_run = 2,
};

auto run_late_copy(record& log, bool has_trouble) -> outcome;
auto run_omitted_stage(record& log, bool has_trouble) -> outcome;
auto run_slow_reader(record& log, bool has_trouble) -> outcome;
auto run_unmarked_failure(record& log, bool has_trouble) -> outcome;

} // namespace review
