#include "services/peers/peer_channel.h"

#include "fleet/fleet_errc.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace almondtiller::services {

namespace {

using fleet::fleet_errc;
using h2::max_peer_streams;

constexpr auto idle_time = std::chrono::seconds(60);

/// A connection on which calls time out and that gave no answer for so long
/// is made anew.
constexpr auto broken_after = std::chrono::seconds(3);

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
      retry(fleet::backoff_options())
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
    if (now < this->avoid_until) {
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
    const auto late = this->take_late_calls(now);
    if (this->connection && !late.empty()) {
        this->connection->flush();
    }
    for (const auto& call : late) {
        call.reply(make_error_code(fleet_errc::peer_timeout));
    }
    if (this->connecting && this->waiting.empty()) {
        this->connecting->close();
    }
    if (!this->connection) {
        return;
    }
    const auto is_broken =
        !late.empty() && now - this->last_answer > broken_after;
    const auto is_unused =
        this->sent.empty() && now - this->last_use > idle_time;
    if (is_broken || is_unused) {
        this->stop(fleet_errc::peer_unreachable);
    }
}

auto peer_channel::take_late_calls(core::time_point now)
    -> std::vector<peer_call>
{
    auto late = std::vector<peer_call>();
    auto kept = std::vector<peer_call>();
    for (auto& call : this->waiting) {
        (now >= call.deadline ? late : kept).push_back(std::move(call));
    }
    this->waiting = std::move(kept);
    for (auto next = this->sent.begin(); next != this->sent.end();) {
        if (now < next->second.deadline) {
            ++next;
            continue;
        }
        if (this->connection) {
            this->connection->session().cancel(next->first);
        }
        late.push_back(std::move(next->second));
        next = this->sent.erase(next);
    }
    return late;
}

auto peer_channel::is_idle() const -> bool
{
    return !this->connection && !this->connecting && this->waiting.empty() &&
           this->clock.now() >= this->avoid_until + idle_time &&
           this->clock.now() >= this->last_use + idle_time;
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
    auto ended = std::move(this->waiting);
    this->waiting.clear();
    for (auto& [stream, call] : this->sent) {
        ended.push_back(std::move(call));
    }
    this->sent.clear();
    for (const auto& call : ended) {
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
                self->connect_failed();
            } else {
                self->connected();
            }
        });
}

auto peer_channel::connected() -> void
{
    this->retry.succeeded();
    this->last_answer = this->clock.now();
    auto socket = std::exchange(this->connecting, nullptr);
    auto hooks = h2_hooks();
    hooks.on_answer = [weak = this->weak_from_this()](std::int32_t stream,
                                                      auto answer) {
        if (const auto self = weak.lock()) {
            self->answered(stream, std::move(answer));
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

auto peer_channel::connect_failed() -> void
{
    this->connecting.reset();
    this->avoid_until = this->clock.now() + this->retry.failed(this->random);
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

auto peer_channel::answered(std::int32_t stream,
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
