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
};

namespace {

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
    uv_timer_start(
        &this->data->handle,
        [](uv_timer_t* handle) {
            // The action may destroy the timer.
            const auto action = static_cast<state*>(handle->data)->action;
            if (action) {
                action();
            }
        },
        clamp_delay(delay), clamp_delay(interval));
}

auto timer::stop() -> void
{
    uv_timer_stop(&this->data->handle);
}

} // namespace almondtiller::event
