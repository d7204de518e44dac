#pragma once

#include "core/clock.h"

#include <string>

namespace almondtiller::harness {

/// The answer to one HTTP call; status 0 when there was none.
struct http_reply
{
    int status = 0;
    std::string body;
};

/// Calls \a address (IP and port); a POST when there is a body.
auto http_call(const std::string& address, const std::string& path,
               const std::string& body = "",
               core::milliseconds timeout = core::milliseconds(3000))
    -> http_reply;

} // namespace almondtiller::harness
