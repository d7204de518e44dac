#include "services/entry/event_queue.h"

#include <utility>

namespace almondtiller::services {

auto event_queue::push_token(std::uint64_t index, std::string_view text) -> void
{
    if (this->is_abandoned()) {
        return;
    }
    auto was_empty = false;
    {
        const auto guard = std::lock_guard(this->mutex);
        was_empty = this->events.empty();
        this->events += "event: token\ndata: {\"index\":";
        this->events += std::to_string(index);
        this->events += ",\"text\":";
        this->events += text;
        this->events += "}\n\n";
    }
    if (was_empty) {
        this->changed.notify_one();
    }
}

auto event_queue::push_conclusion(run_conclusion conclusion) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->conclusion = std::move(conclusion);
    this->changed.notify_one();
}

auto event_queue::take() -> batch
{
    auto lock = std::unique_lock(this->mutex);
    this->changed.wait(lock, [this] { return this->has_something(); });
    return {std::exchange(this->events, {}),
            std::exchange(this->conclusion, {})};
}

auto event_queue::wait_for_first() -> std::optional<run_conclusion>
{
    auto lock = std::unique_lock(this->mutex);
    this->changed.wait(lock, [this] { return this->has_something(); });
    return this->events.empty() ? this->conclusion : std::nullopt;
}

auto event_queue::abandon() -> void
{
    this->abandoned = true;
}

auto event_queue::is_abandoned() const -> bool
{
    return this->abandoned;
}

auto event_queue::has_something() const -> bool
{
    return !this->events.empty() || this->conclusion.has_value();
}

auto last_event(const run_conclusion& conclusion) -> std::string
{
    if (const auto* success = std::get_if<run_success>(&conclusion)) {
        return "event: final\ndata: " + success->answer + "\n\n";
    }
    return "event: error\ndata: " +
           api::to_json(std::get<api::problem>(conclusion)) + "\n\n";
}

} // namespace almondtiller::services
