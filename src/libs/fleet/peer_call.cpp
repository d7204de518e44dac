#include "fleet/peer_call.h"

#include <future>
#include <memory>
#include <utility>

namespace almondtiller::fleet {

auto call_and_wait(peer_bus& bus, const core::node_id& target,
                   const std::string& topic, const std::string& body,
                   core::milliseconds timeout) -> core::result<std::string>
{
    const auto promise =
        std::make_shared<std::promise<core::result<std::string>>>();
    auto answer = promise->get_future();
    bus.call(target, topic, body, timeout,
             [promise](core::result<std::string> result) {
                 promise->set_value(std::move(result));
             });
    return answer.get();
}

} // namespace almondtiller::fleet
