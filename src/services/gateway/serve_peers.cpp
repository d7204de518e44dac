#include "services/gateway/dispatch_client.h"
#include "services/gateway/peer_topics.h"

namespace almondtiller::gateway {

auto serve_peers(peer_mesh& mesh, dispatcher& local, event::loop& event_loop,
                 event_log& log) -> void
{
    using action = std::function<void()>;
    const auto log_unreadable = [&log](const core::node_id& sender,
                                       const char* topic,
                                       std::error_code error) {
        log.write(severity::notice, "peer_message_unreadable",
                  {{"peer", sender.str()},
                   {"topic", topic},
                   {"error", error.message()}});
    };
    mesh.handle(stage_topic, [&local, &event_loop,
                              log_unreadable](const core::node_id& sender,
                                              const std::string& body,
                                              const peer_mesh::reply& answer) {
        const auto message = decode_stage(body, event_loop.now());
        if (!message) {
            log_unreadable(sender, stage_topic, message.error());
            answer(message.error());
            return action();
        }
        const auto& service = message.value().service;
        const auto ticket = local.submit_stage(
            service, message.value().work,
            [answer](const dispatch::stage_outcome& outcome) {
                answer(encode(outcome));
            });
        return action([&local, service, ticket]() {
            local.cancel_stage(service, ticket);
        });
    });
    mesh.handle(place_topic, [&local, &event_loop,
                              log_unreadable](const core::node_id& sender,
                                              const std::string& body,
                                              const peer_mesh::reply& answer) {
        const auto message = decode_place(body, event_loop.now());
        if (!message) {
            log_unreadable(sender, place_topic, message.error());
            answer(message.error());
            return action();
        }
        const auto service = message.value().service;
        const auto request = message.value().request.request;
        local.submit_placement(
            message.value(), sender,
            [answer](const dispatch::placement_outcome& outcome) {
                answer(encode(outcome));
            });
        return action([&local, service, request]() {
            local.cancel_placement(service, request);
        });
    });
    mesh.handle(report_topic, [&local, &event_loop,
                               log_unreadable](const core::node_id& sender,
                                               const std::string& body,
                                               const peer_mesh::reply& answer) {
        if (const auto messages = decode_reports(body, event_loop.now())) {
            for (const auto& message : messages.value()) {
                local.report(message);
            }
        } else {
            log_unreadable(sender, report_topic, messages.error());
        }
        answer(std::string());
        return action();
    });
    mesh.handle(free_topic,
                [&local, log_unreadable](const core::node_id& sender,
                                         const std::string& body,
                                         const peer_mesh::reply& answer) {
                    if (const auto message = decode_free(body)) {
                        local.free_results(message.value().service,
                                           message.value().handles);
                    } else {
                        log_unreadable(sender, free_topic, message.error());
                    }
                    answer(std::string());
                    return action();
                });
}

} // namespace almondtiller::gateway
