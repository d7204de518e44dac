#include "http1/client_pool.h"

#include <algorithm>
#include <utility>

namespace almondtiller::http1 {

namespace {

/// Connections are not reused after this share of the server's announced idle
/// timeout.
constexpr auto idle_timeout_share = 0.6;
/// Longest time for which an idle connection is kept.
constexpr auto max_idle_time = std::chrono::seconds(10);

auto is_usable(const client_connection& connection, core::duration idle_for,
               core::milliseconds longest_idle) -> bool
{
    const auto announced = connection.announced_idle_timeout();
    const auto limit = announced.count() > 0
                           ? std::chrono::duration_cast<core::duration>(
                                 announced * idle_timeout_share)
                           : core::duration(max_idle_time);
    return connection.is_reusable() && idle_for < limit &&
           idle_for < longest_idle;
}

} // namespace

auto pooled_call::cancel() -> void
{
    this->is_finished = true;
    if (const auto open = std::exchange(this->connection, nullptr)) {
        open->cancel();
    }
}

auto pooled_call::pause_reading() -> void
{
    if (this->connection) {
        this->connection->pause_reading();
    }
}

auto pooled_call::resume_reading() -> void
{
    if (this->connection) {
        this->connection->resume_reading();
    }
}

client_pool::client_pool(event::loop& loop) : event_loop(loop)
{}

client_pool::~client_pool()
{
    *this->is_alive = false;
    for (const auto& call : this->active_calls) {
        if (const auto open = call.lock()) {
            open->cancel();
        }
    }
}

auto client_pool::take_idle(const std::string& key, const call_options& options)
    -> std::shared_ptr<client_connection>
{
    const auto found = this->idle.find(key);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    for (auto index = kept.size(); index-- > 0;) {
        const auto newest = kept[index];
        const auto idle_for = this->event_loop.now() - newest.since;
        const auto is_open =
            is_usable(*newest.connection, idle_for, options.longest_idle);
        if (is_open && !options.expected_value.empty() &&
            newest.connection->has_carried(options.expected_value)) {
            continue;
        }
        kept.erase(kept.begin() + std::ptrdiff_t(index));
        if (is_open) {
            return newest.connection;
        }
    }
    return nullptr;
}

auto client_pool::call(const call_target& target, std::string request,
                       const call_options& options, pool_hooks hooks)
    -> std::shared_ptr<pooled_call>
{
    auto call = std::make_shared<pooled_call>();
    this->active_calls.push_back(call);
    this->start_timeout(call, options.longest, hooks);
    if (auto kept = this->take_idle(target.key, options)) {
        call->connection = std::move(kept);
        this->send(call, target.key, std::move(request), options,
                   std::move(hooks));
        return call;
    }
    ++this->connect_count;
    event::tcp_stream::connect(
        this->event_loop, target.address, options.connect_limit,
        [this, pool_alive = this->is_alive, call, key = target.key,
         text = std::move(request), options, callbacks = std::move(hooks)](
            std::shared_ptr<event::tcp_stream> stream,
            std::error_code error) mutable {
            if (!*pool_alive || call->is_finished) {
                return;
            }
            if (error) {
                call->is_finished = true;
                callbacks.on_done(error, false);
                return;
            }
            call->connection =
                std::make_shared<client_connection>(std::move(stream));
            call->connection->start();
            this->send(call, key, std::move(text), options,
                       std::move(callbacks));
        });
    return call;
}

auto client_pool::send(const std::shared_ptr<pooled_call>& call,
                       const std::string& key, std::string request,
                       const call_options& options, pool_hooks hooks) -> void
{
    auto connection = call->connection;
    auto callbacks = call_hooks();
    callbacks.on_head = std::move(hooks.on_head);
    callbacks.on_body = std::move(hooks.on_body);
    callbacks.on_done = [this, pool_alive = this->is_alive, call, key,
                         identify = std::move(hooks.identify),
                         done =
                             std::move(hooks.on_done)](std::error_code error) {
        const auto used = std::exchange(call->connection, nullptr);
        call->is_finished = true;
        if (!error && used && identify) {
            error = used->check_answer(identify());
        }
        if (*pool_alive && !error && used && used->is_reusable()) {
            this->idle[key].push_back({used, this->event_loop.now()});
        }
        done(error, true);
    };
    connection->call(std::move(request), options.has_no_body,
                     std::move(callbacks), options.largest_body);
    if (hooks.on_sent) {
        hooks.on_sent();
    }
}

auto client_pool::start_timeout(const std::shared_ptr<pooled_call>& call,
                                core::milliseconds longest, pool_hooks& hooks)
    -> void
{
    if (longest.count() == 0) {
        return;
    }
    const auto done = hooks.on_done;
    call->timeout_timer = std::make_unique<event::timer>(
        this->event_loop, [weak = std::weak_ptr<pooled_call>(call), done]() {
            const auto open = weak.lock();
            if (open && !open->is_finished) {
                open->cancel();
                done(http1_errc::timed_out, true);
            }
        });
    call->timeout_timer->start(longest);
    hooks.on_done = [weak = std::weak_ptr<pooled_call>(call),
                     done](std::error_code error, bool sent) {
        if (const auto open = weak.lock()) {
            open->timeout_timer->stop();
        }
        done(error, sent);
    };
}

auto client_pool::sweep(
    const std::function<bool(const std::string&)>& is_wanted) -> void
{
    for (auto& [key, kept] : this->idle) {
        if (!is_wanted(key)) {
            kept.clear();
            continue;
        }
        std::erase_if(kept, [this](const auto& entry) {
            return !is_usable(*entry.connection,
                              this->event_loop.now() - entry.since,
                              max_idle_time);
        });
    }
    std::erase_if(this->idle,
                  [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(this->active_calls,
                  [](const auto& call) { return call.expired(); });
}

auto client_pool::opened() const -> std::uint64_t
{
    return this->connect_count;
}

} // namespace almondtiller::http1
