#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

#include <system_error>

namespace almondtiller::core {

/// A value, or the std::error_code that explains why there is none.
template <typename T>
using result = boost::outcome_v2::std_result<T>;

using boost::outcome_v2::success;

} // namespace almondtiller::core
