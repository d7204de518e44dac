#include "event/timer.h"

#include "event/loop.h"

#include <uv.h>

#include <algorithm>
#include <utility>

namespace almondtiller::event {

/// Freed when libuv has closed the handle.
struct timer::state
{
    uv_timer_t handle{};
    std::function<void()> action;
    /// Time of the loop, in ms, when the action is due.
    std::uint64_t due = 0;
    bool is_repeating = false;
    /// Whether the action waits until the sockets were read.
    bool is_deferred = false;

    static auto on_due(uv_timer_t* handle) -> void;
};

namespace {

/// Lateness of an action, in ms, that shows that the loop was busy.
constexpr auto max_lateness = std::uint64_t(10);
/// libuv calls a timer again before it reads the sockets if its delay is 0.
constexpr auto next_iteration = std::uint64_t(1);

auto clamp_delay(core::milliseconds delay) -> std::uint64_t
{
    return std::uint64_t(std::max<std::int64_t>(delay.count(), 0));
}

} // namespace

timer::timer(loop& event_loop, std::function<void()> action) : data(new state())
{
    this->data->action = std::move(action);
    this->data->handle.data = this->data;
    uv_timer_init(event_loop.native(), &this->data->handle);
}

timer::~timer()
{
    this->data->action = nullptr;
    auto* const native = reinterpret_cast<uv_handle_t*>(&this->data->handle);
    if (uv_is_closing(native) != 0) {
        // The loop is being destroyed and still refers to the handle.
        return;
    }
    uv_close(native, [](uv_handle_t* handle) {
        delete static_cast<state*>(handle->data);
    });
}

auto timer::start(core::milliseconds delay) -> void
{
    this->start_repeating(delay, core::milliseconds(0));
}

auto timer::start_repeating(core::milliseconds delay,
                            core::milliseconds interval) -> void
{
    uv_update_time(this->data->handle.loop);
    this->data->due = uv_now(this->data->handle.loop) + clamp_delay(delay);
    this->data->is_repeating = interval.count() > 0;
    this->data->is_deferred = false;
    uv_timer_start(&this->data->handle, &state::on_due, clamp_delay(delay),
                   clamp_delay(interval));
}

auto timer::state::on_due(uv_timer_t* handle) -> void
{
    auto& self = *static_cast<state*>(handle->data);
    const auto is_late = uv_now(handle->loop) > self.due + max_lateness;
    if (is_late && !self.is_repeating &&
        !std::exchange(self.is_deferred, true)) {
        uv_timer_start(handle, &state::on_due, next_iteration, 0);
        return;
    }
    // The action may destroy the timer.
    const auto action = self.action;
    if (action) {
        action();
    }
}

auto timer::stop() -> void
{
    uv_timer_stop(&this->data->handle);
}

} // namespace almondtiller::event
