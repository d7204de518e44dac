#include "harness/http_call.h"

#include <httplib.h>

namespace almondtiller::harness {

auto http_call(const std::string& address, const std::string& path,
               const std::string& body, core::milliseconds timeout)
    -> http_reply
{
    const auto colon = address.rfind(':');
    auto client = httplib::Client(address.substr(0, colon),
                                  std::atoi(address.c_str() + colon + 1));
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    const auto answer = body.empty()
                            ? client.Get(path)
                            : client.Post(path, body, "application/json");
    return answer ? http_reply{answer->status, answer->body} : http_reply();
}

} // namespace almondtiller::harness
