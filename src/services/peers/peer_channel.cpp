#include "services/peers/peer_channel.h"

#include "fleet/fleet_errc.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace almondtiller::services {

namespace {

using fleet::fleet_errc;
using h2::max_peer_streams;

constexpr auto idle_timeout = std::chrono::seconds(60);

/// When calls time out on a connection and no answer has arrived on it for this
/// time, it is closed; the next call opens a new one.
constexpr auto no_answer_timeout = std::chrono::seconds(3);

} // namespace

peer_channel::peer_channel(boost::asio::io_context& context,
                           boost::asio::ip::tcp::endpoint target,
                           const core::runtime_clock& clock,
                           traffic_counters& counters, std::uint64_t seed)
    : context(context),
      target(std::move(target)),
      clock(clock),
      counters(counters),
      random(seed),
      reconnect_backoff(fleet::backoff_options())
{}

auto peer_channel::add(peer_call call) -> void
{
    const auto now = this->clock.now();
    this->last_use = now;
    if (this->connection) {
        this->send(std::move(call));
        this->connection->flush();
        return;
    }
    if (now < this->backoff_until) {
        call.reply(make_error_code(fleet_errc::peer_unreachable));
        return;
    }
    if (this->waiting.size() >= max_peer_streams) {
        call.reply(make_error_code(fleet_errc::too_many_calls));
        return;
    }
    this->waiting.push_back(std::move(call));
    this->connect();
}

auto peer_channel::sweep(core::time_point now) -> void
{
    const auto expired = this->take_expired_calls(now);
    if (this->connection && !expired.empty()) {
        this->connection->flush();
    }
    for (const auto& call : expired) {
        call.reply(make_error_code(fleet_errc::peer_timeout));
    }
    if (this->connecting && this->waiting.empty()) {
        this->connecting->close();
    }
    if (!this->connection) {
        return;
    }
    const auto is_broken =
        !expired.empty() && now - this->last_answer > no_answer_timeout;
    const auto is_unused =
        this->sent.empty() && now - this->last_use > idle_timeout;
    if (is_broken || is_unused) {
        this->stop(fleet_errc::peer_unreachable);
    }
}

auto peer_channel::take_expired_calls(core::time_point now)
    -> std::vector<peer_call>
{
    auto expired = std::vector<peer_call>();
    auto remaining = std::vector<peer_call>();
    for (auto& call : this->waiting) {
        (now >= call.deadline ? expired : remaining).push_back(std::move(call));
    }
    this->waiting = std::move(remaining);
    for (auto next = this->sent.begin(); next != this->sent.end();) {
        if (now < next->second.deadline) {
            ++next;
            continue;
        }
        if (this->connection) {
            this->connection->session().cancel(next->first);
        }
        expired.push_back(std::move(next->second));
        next = this->sent.erase(next);
    }
    return expired;
}

auto peer_channel::is_idle() const -> bool
{
    return !this->connection && !this->connecting && this->waiting.empty() &&
           this->clock.now() >= this->backoff_until + idle_timeout &&
           this->clock.now() >= this->last_use + idle_timeout;
}

auto peer_channel::stop(std::error_code error) -> void
{
    if (this->connecting) {
        this->connecting->close();
    }
    if (this->connection) {
        this->connection->close();
        this->connection.reset();
    }
    auto unanswered = std::move(this->waiting);
    this->waiting.clear();
    for (auto& [stream, call] : this->sent) {
        unanswered.push_back(std::move(call));
    }
    this->sent.clear();
    for (const auto& call : unanswered) {
        call.reply(error);
    }
}

auto peer_channel::connect() -> void
{
    if (this->connecting) {
        return;
    }
    this->connecting =
        std::make_shared<boost::asio::ip::tcp::socket>(this->context);
    this->connecting->async_connect(
        this->target, [self = this->shared_from_this(),
                       socket = this->connecting](const auto& error) {
            if (error || !socket->is_open()) {
                self->on_connect_failed();
            } else {
                self->on_connected();
            }
        });
}

auto peer_channel::on_connected() -> void
{
    this->reconnect_backoff.succeeded();
    this->last_answer = this->clock.now();
    auto socket = std::exchange(this->connecting, nullptr);
    auto hooks = h2_hooks();
    hooks.on_answer = [weak = this->weak_from_this()](std::int32_t stream,
                                                      auto answer) {
        if (const auto self = weak.lock()) {
            self->on_call_answered(stream, std::move(answer));
        }
    };
    this->connection = std::make_shared<peer_connection>(
        std::move(*socket), h2_role::client, std::move(hooks), this->counters,
        [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->stop(fleet_errc::peer_unreachable);
            }
        });
    this->connection->start();
    for (auto& call : std::exchange(this->waiting, {})) {
        this->send(std::move(call));
    }
    if (this->connection) {
        this->connection->flush();
    }
}

auto peer_channel::on_connect_failed() -> void
{
    this->connecting.reset();
    this->backoff_until =
        this->clock.now() + this->reconnect_backoff.failed(this->random);
    this->stop(fleet_errc::peer_unreachable);
}

auto peer_channel::send(peer_call call) -> void
{
    const auto stream =
        this->connection->session().submit_request(call.request);
    if (!stream) {
        call.reply(stream.error());
        return;
    }
    call.request.body.clear();
    this->sent.emplace(stream.value(), std::move(call));
}

auto peer_channel::on_call_answered(std::int32_t stream,
                                    core::result<std::string> answer) -> void
{
    const auto found = this->sent.find(stream);
    if (found == this->sent.end()) {
        return;
    }
    this->last_answer = this->clock.now();
    const auto call = std::move(found->second);
    this->sent.erase(found);
    call.reply(std::move(answer));
}

} // namespace almondtiller::services
