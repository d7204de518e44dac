#include "services/gateway/crash_monitor.h"

#include "event/tcp_stream.h"
#include "http1/parser.h"
#include "services/gateway/flow_limits.h"
#include "services/gateway/peer_topics.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondtiller::gateway {

namespace {

constexpr auto share_timeout = core::milliseconds(2000);
/// Time within which all nodes report a crash.
constexpr auto report_period = core::milliseconds(200);
/// Within this time the nodes notice the loss of a whole zone or rack.
constexpr auto common_loss_period = core::milliseconds(150);
constexpr auto max_requests_per_crash = std::size_t(64);

/// \return Whether the upstream has ended the connection.
auto is_connection_lost(std::error_code error) -> bool
{
    return error == http1::http1_errc::truncated_message ||
           error == std::errc::connection_reset ||
           error == std::errc::connection_aborted ||
           error == std::errc::broken_pipe;
}

/// \return Whether a connection attempt shows that no process listens. Other
///         failures may be the network's.
auto is_down(std::error_code error) -> bool
{
    return error == std::errc::connection_refused ||
           error == std::errc::connection_reset;
}

/// \return The crash with the fingerprints of its requests as their only parts.
auto with_fingerprints(const crash_message& message) -> dispatch::upstream_crash
{
    auto crash = *message.crash;
    crash.requests.clear();
    for (const auto& fingerprint : message.fingerprints) {
        crash.requests.push_back({fingerprint});
    }
    return crash;
}

/// \return The hashes of a quarantine that are reported to other nodes, with
///         each status of this node.
auto reported_hashes(const dispatch::prompt_quarantine& quarantine)
    -> dispatch::part_hashes
{
    constexpr auto max_hashes = std::size_t(16);
    auto hashes = quarantine.parts();
    hashes.resize(std::min(hashes.size(), max_hashes));
    return hashes;
}

auto hash_text(std::uint64_t hash) -> std::string
{
    constexpr auto digits = "0123456789abcdef";
    constexpr auto digit_bits = 4;
    auto text = std::string();
    for (auto shift = 64; shift > 0;) {
        shift -= digit_bits;
        text += digits[(hash >> unsigned(shift)) & 15U];
    }
    return text;
}

} // namespace

crash_monitor::crash_monitor(event::loop& loop, peer_mesh& peers,
                             event_log& logger, std::function<void()> hook)
    : event_loop(loop),
      mesh(peers),
      log(logger),
      on_quarantine(std::move(hook)),
      parts(common_loss_period),
      requests(core::duration::zero()),
      decision_timer(loop, [this]() { this->decide(); })
{}

auto crash_monitor::serve() -> void
{
    this->mesh.handle(crash_topic, [this](const core::node_id& sender,
                                          const std::string& body,
                                          const peer_mesh::reply& answer) {
        const auto message = decode_crash(body, this->event_loop.now());
        auto reply = crash_message();
        if (!message) {
            this->log_unreadable(sender, message.error());
        } else {
            this->apply_answers(message.value(), sender.str());
            if (const auto& crash = message.value().crash) {
                reply.answered = this->parts.newer_answers(*crash);
                reply.answered_fingerprints = this->requests.newer_answers(
                    with_fingerprints(message.value()));
                this->apply(message.value());
            }
        }
        answer(encode(reply, this->event_loop.now()));
        return std::function<void()>();
    });
}

auto crash_monitor::log_unreadable(const core::node_id& peer,
                                   std::error_code error) -> void
{
    this->log.write(severity::notice, "peer_message_unreadable",
                    {{"peer", peer.str()},
                     {"topic", crash_topic},
                     {"error", error.message()}});
}

auto crash_monitor::set_watchers(std::vector<core::node_id> nodes) -> void
{
    this->watchers = std::move(nodes);
}

auto crash_monitor::on_attempt_failed(const serving::upstream& upstream,
                                      const serving::caller_request& request,
                                      std::error_code error) -> void
{
    if (!is_connection_lost(error)) {
        return;
    }
    const auto [found, is_new] = this->probed.try_emplace(upstream.id);
    auto& message = found->second;
    if (is_new) {
        message.crash.emplace();
        message.crash->upstream = upstream.id;
        message.crash->at = this->event_loop.now();
    }
    if (message.fingerprints.size() < max_requests_per_crash) {
        const auto fingerprint = dispatch::request_fingerprint(request);
        message.fingerprints.push_back(
            {fingerprint, this->requests.answered_at(fingerprint)});
        auto& suspects = message.crash->requests.emplace_back();
        for (const auto part : dispatch::shared_parts(request.prompt)) {
            suspects.push_back({part, this->parts.answered_at(part)});
        }
    }
    if (is_new) {
        this->probe(upstream);
    }
}

auto crash_monitor::probe(const serving::upstream& upstream) -> void
{
    event::tcp_stream::connect(
        this->event_loop, upstream.address, connect_timeout,
        [this, id = upstream.id, alive = std::weak_ptr<bool>(this->is_alive)](
            const std::shared_ptr<event::tcp_stream>& stream,
            std::error_code error) {
            if (stream) {
                stream->close();
            }
            if (!alive.expired()) {
                this->on_probed(id, error);
            }
        });
}

auto crash_monitor::on_probed(const core::upstream_id& upstream,
                              std::error_code error) -> void
{
    const auto found = this->probed.find(upstream);
    if (found == this->probed.end()) {
        return;
    }
    const auto message = std::move(found->second);
    this->probed.erase(found);
    const auto has_crashed = is_down(error);
    this->log.write(
        severity::notice,
        has_crashed ? "upstream_crashed" : "upstream_lost_answers",
        {{"upstream", upstream.str()},
         {"requests", std::to_string(message.fingerprints.size())},
         {"probe", error ? error.message() : std::string("connected")},
         {"age_ms", ms_text(this->event_loop.now() - message.crash->at)}});
    if (has_crashed) {
        ++this->crashes;
        this->apply(message);
        this->share(message);
    }
}

auto crash_monitor::apply(const crash_message& message) -> void
{
    this->parts.on_crash(*message.crash);
    this->requests.on_crash(with_fingerprints(message));
    if (!std::exchange(this->is_decision_scheduled, true)) {
        this->decision_timer.start(report_period);
    }
}

auto crash_monitor::decide() -> void
{
    this->is_decision_scheduled = false;
    const auto now = this->event_loop.now();
    const auto added_parts = this->parts.decide(now);
    const auto added_requests = this->requests.decide(now);
    this->log_hashes("prompt_part_quarantined", added_parts, "self");
    this->log_hashes("request_quarantined", added_requests, "self");
    if (!added_parts.empty() || !added_requests.empty()) {
        this->on_quarantine();
    }
}

auto crash_monitor::on_answer_begun(const serving::caller_request& request)
    -> void
{
    const auto now = this->event_loop.now();
    auto answers = crash_message();
    for (const auto part : dispatch::shared_parts(request.prompt)) {
        answers.answered.push_back({part, now});
    }
    answers.answered_fingerprints.push_back(
        {dispatch::request_fingerprint(request), now});
    this->learn_answers(answers, "self");
}

auto crash_monitor::learn_answers(const crash_message& message,
                                  std::string_view source) -> void
{
    const auto cleared = this->apply_answers(message, source);
    if (cleared != crash_message()) {
        this->share(cleared);
    }
}

auto crash_monitor::apply_answers(const crash_message& message,
                                  std::string_view source) -> crash_message
{
    auto cleared = crash_message();
    const auto apply_to = [&](dispatch::prompt_quarantine& quarantine,
                              const std::vector<dispatch::known_part>& answers,
                              std::string_view event) {
        const auto before = quarantine.parts();
        auto suspected = quarantine.on_answers(answers, this->event_loop.now());
        const auto after = quarantine.parts();
        auto released = dispatch::part_hashes();
        std::set_difference(before.begin(), before.end(), after.begin(),
                            after.end(), std::back_inserter(released));
        this->log_hashes(event, released, source);
        return suspected;
    };
    cleared.answered =
        apply_to(this->parts, message.answered, "prompt_part_released");
    cleared.answered_fingerprints = apply_to(
        this->requests, message.answered_fingerprints, "request_released");
    return cleared;
}

auto crash_monitor::share(const crash_message& message) -> void
{
    const auto body = encode(message, this->event_loop.now());
    if (!this->watchers.empty()) {
        for (const auto& node : this->watchers) {
            this->send(node, body);
        }
        return;
    }
    this->mesh.visit([this, &body](const peer_view& peer) {
        if (peer.is_alive) {
            this->send(peer.entry.node, body);
        }
    });
}

auto crash_monitor::send(const core::node_id& node, const std::string& body)
    -> void
{
    this->mesh.call(node, crash_topic, body, share_timeout,
                    [this, node, alive = std::weak_ptr<bool>(this->is_alive)](
                        const core::result<std::string>& answer) {
                        // A node that misses a message learns from the others
                        // which parts are in quarantine.
                        if (!answer || alive.expired()) {
                            return;
                        }
                        const auto known = decode_crash(answer.value(),
                                                        this->event_loop.now());
                        if (known) {
                            this->learn_answers(known.value(), node.str());
                        } else {
                            this->log_unreadable(node, known.error());
                        }
                    });
}

auto crash_monitor::quarantine_reason(const serving::caller_request& request)
    -> std::optional<std::string_view>
{
    const auto now = this->event_loop.now();
    if (!this->parts.parts().empty() &&
        this->parts.find(dispatch::shared_parts(request.prompt), now)) {
        return "prompt_part_quarantined";
    }
    if (!this->requests.parts().empty() &&
        this->requests.find({dispatch::request_fingerprint(request)}, now)) {
        return "request_quarantined";
    }
    return std::nullopt;
}

auto crash_monitor::adopt(const core::node_id& peer,
                          const dispatch::part_hashes& part_list,
                          const dispatch::part_hashes& request_list) -> void
{
    const auto now = this->event_loop.now();
    this->log_hashes("prompt_part_quarantined",
                     this->parts.adopt(part_list, now), peer.str());
    this->log_hashes("request_quarantined",
                     this->requests.adopt(request_list, now), peer.str());
}

auto crash_monitor::expire() -> void
{
    const auto now = this->event_loop.now();
    this->log_hashes("prompt_part_released", this->parts.expire(now), "expiry");
    this->log_hashes("request_released", this->requests.expire(now), "expiry");
}

auto crash_monitor::log_hashes(std::string_view event,
                               const dispatch::part_hashes& hashes,
                               std::string_view source) -> void
{
    for (const auto hash : hashes) {
        this->log.write(
            severity::notice, event,
            {{event.starts_with("prompt_part") ? "part" : "fingerprint",
              hash_text(hash)},
             {"source", std::string(source)}});
    }
}

auto crash_monitor::quarantined_parts() const -> dispatch::part_hashes
{
    return reported_hashes(this->parts);
}

auto crash_monitor::quarantined_requests() const -> dispatch::part_hashes
{
    return reported_hashes(this->requests);
}

auto crash_monitor::crash_count() const -> std::uint64_t
{
    return this->crashes;
}

} // namespace almondtiller::gateway
