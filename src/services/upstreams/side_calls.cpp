#include "services/upstreams/side_calls.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace almondtiller::services {

namespace {

using core::milliseconds;

constexpr auto max_waiting_cancellations = std::size_t(1024);
constexpr auto idle_pause = std::chrono::seconds(60);
/// Bounds the polls of one node to 20 a second.
constexpr auto min_poll_pause = milliseconds(50);
/// How often the same upstream is polled, at most.
constexpr auto poll_round = milliseconds(1000);

auto number_of(const nlohmann::json& document, const char* name) -> std::int64_t
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_number_integer()) {
        return 0;
    }
    return std::max<std::int64_t>(0, found->get<std::int64_t>());
}

auto text_of(const nlohmann::json& document, const char* name) -> std::string
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

} // namespace

cancel_sender::cancel_sender(const core::runtime_clock& clock,
                             attempt_caller& caller)
    : caller(caller), sender(clock, [this] { return this->send_all(); })
{}

auto cancel_sender::submit(const std::string& address,
                           const core::attempt_id& attempt) -> bool
{
    {
        const auto guard = std::lock_guard(this->mutex);
        if (this->queue.size() >= max_waiting_cancellations) {
            return false;
        }
        this->queue.push_back({address, attempt});
    }
    this->sender.wake();
    return true;
}

auto cancel_sender::stop() -> void
{
    this->sender.stop();
}

auto cancel_sender::send_all() -> core::duration
{
    while (true) {
        auto next = cancellation();
        {
            const auto guard = std::lock_guard(this->mutex);
            if (this->queue.empty()) {
                return idle_pause;
            }
            next = std::move(this->queue.front());
            this->queue.pop_front();
        }
        this->caller.cancel(next.address, next.attempt);
    }
}

load_poller::load_poller(const core::runtime_clock& clock,
                         attempt_caller& caller, instance_source instances,
                         report_handler handle)
    : caller(caller),
      instances(std::move(instances)),
      handle(std::move(handle)),
      poller(clock, [this] { return this->poll_next(); })
{}

auto load_poller::stop() -> void
{
    this->poller.stop();
}

auto load_poller::poll_next() -> core::duration
{
    const auto known = this->instances();
    if (known.empty()) {
        return poll_round;
    }
    this->position = (this->position + 1) % known.size();
    const auto& polled = known[this->position];
    if (const auto body = this->caller.load(polled.address)) {
        const auto report = parse_load(core::upstream_id(polled.id), *body);
        if (report) {
            this->handle(polled, *report);
        }
    }
    return std::max<core::duration>(min_poll_pause,
                                    poll_round / std::int64_t(known.size()));
}

auto parse_load(const core::upstream_id& id, std::string_view body)
    -> std::optional<routing::load_report>
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    const auto state = text_of(document, "state");
    auto report = routing::load_report();
    report.id = id;
    report.incarnation = text_of(document, "incarnation");
    report.cold = state == "cold" || state == "loading";
    report.in_flight = std::uint32_t(number_of(document, "in_flight"));
    report.queued = std::uint32_t(number_of(document, "queued"));
    report.capacity = std::uint32_t(number_of(document, "capacity"));
    report.age = milliseconds(number_of(document, "age_ms"));
    return report;
}

} // namespace almondtiller::services
