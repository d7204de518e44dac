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

auto part_text(std::uint64_t part) -> std::string
{
    constexpr auto digits = "0123456789abcdef";
    constexpr auto digit_bits = 4;
    auto text = std::string();
    for (auto shift = 64; shift > 0;) {
        shift -= digit_bits;
        text += digits[(part >> unsigned(shift)) & 15U];
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
            this->apply_answers(message.value().answered, sender.str());
            if (const auto& crash = message.value().crash) {
                reply.answered = this->quarantine.newer_answers(*crash);
                this->apply(*crash);
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

auto crash_monitor::on_attempt_failed(
    const serving::upstream& upstream,
    const std::vector<serving::prompt_part>& prompt, std::error_code error)
    -> void
{
    const auto parts = dispatch::shared_parts(prompt);
    if (parts.empty() || !is_connection_lost(error)) {
        return;
    }
    const auto is_new = !this->probed.contains(upstream.id);
    auto& crash = this->probed[upstream.id];
    if (is_new) {
        crash.upstream = upstream.id;
        crash.at = this->event_loop.now();
    }
    if (crash.requests.size() < max_requests_per_crash) {
        auto& suspects = crash.requests.emplace_back();
        for (const auto part : parts) {
            suspects.push_back({part, this->quarantine.answered_at(part)});
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
    const auto crash = std::move(found->second);
    this->probed.erase(found);
    const auto has_crashed = is_down(error);
    this->log.write(
        severity::notice,
        has_crashed ? "upstream_crashed" : "upstream_lost_answers",
        {{"upstream", upstream.str()},
         {"requests", std::to_string(crash.requests.size())},
         {"probe", error ? error.message() : std::string("connected")},
         {"age_ms", ms_text(this->event_loop.now() - crash.at)}});
    if (has_crashed) {
        ++this->crashes;
        this->apply(crash);
        this->share({crash, {}});
    }
}

auto crash_monitor::apply(const dispatch::upstream_crash& crash) -> void
{
    this->quarantine.on_crash(crash);
    if (!std::exchange(this->is_decision_scheduled, true)) {
        this->decision_timer.start(report_period);
    }
}

auto crash_monitor::decide() -> void
{
    this->is_decision_scheduled = false;
    const auto added = this->quarantine.decide(this->event_loop.now());
    this->log_parts("prompt_part_quarantined", added, "self");
    if (!added.empty()) {
        this->on_quarantine();
    }
}

auto crash_monitor::on_answer_begun(
    const std::vector<serving::prompt_part>& prompt) -> void
{
    auto answers = std::vector<dispatch::known_part>();
    for (const auto part : dispatch::shared_parts(prompt)) {
        answers.push_back({part, this->event_loop.now()});
    }
    this->learn_answers(answers, "self");
}

auto crash_monitor::learn_answers(
    const std::vector<dispatch::known_part>& answers, std::string_view source)
    -> void
{
    const auto cleared = this->apply_answers(answers, source);
    if (!cleared.empty()) {
        this->share({std::nullopt, cleared});
    }
}

auto crash_monitor::apply_answers(
    const std::vector<dispatch::known_part>& answers, std::string_view source)
    -> std::vector<dispatch::known_part>
{
    const auto before = this->quarantine.parts();
    auto cleared = this->quarantine.on_answers(answers, this->event_loop.now());
    const auto after = this->quarantine.parts();
    auto released = dispatch::part_hashes();
    std::set_difference(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(released));
    this->log_parts("prompt_part_released", released, source);
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
    this->mesh.call(
        node, crash_topic, body, share_timeout,
        [this, node, alive = std::weak_ptr<bool>(this->is_alive)](
            const core::result<std::string>& answer) {
            // A node that misses a message learns from the others which parts
            // are in quarantine.
            if (!answer || alive.expired()) {
                return;
            }
            const auto known =
                decode_crash(answer.value(), this->event_loop.now());
            if (known) {
                this->learn_answers(known.value().answered, node.str());
            } else {
                this->log_unreadable(node, known.error());
            }
        });
}

auto crash_monitor::is_quarantined(
    const std::vector<serving::prompt_part>& prompt) -> bool
{
    if (this->quarantine.parts().empty()) {
        return false;
    }
    return this->quarantine
        .find(dispatch::shared_parts(prompt), this->event_loop.now())
        .has_value();
}

auto crash_monitor::adopt(const core::node_id& peer,
                          const dispatch::part_hashes& parts) -> void
{
    this->log_parts("prompt_part_quarantined",
                    this->quarantine.adopt(parts, this->event_loop.now()),
                    peer.str());
}

auto crash_monitor::expire() -> void
{
    this->log_parts("prompt_part_released",
                    this->quarantine.expire(this->event_loop.now()), "expiry");
}

auto crash_monitor::log_parts(std::string_view event,
                              const dispatch::part_hashes& parts,
                              std::string_view source) -> void
{
    for (const auto part : parts) {
        this->log.write(
            severity::notice, event,
            {{"part", part_text(part)}, {"source", std::string(source)}});
    }
}

auto crash_monitor::quarantined() const -> dispatch::part_hashes
{
    // The parts are sent with each status of the node.
    constexpr auto max_parts = std::size_t(16);
    auto parts = this->quarantine.parts();
    parts.resize(std::min(parts.size(), max_parts));
    return parts;
}

auto crash_monitor::crash_count() const -> std::uint64_t
{
    return this->crashes;
}

} // namespace almondtiller::gateway
