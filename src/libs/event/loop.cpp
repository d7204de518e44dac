#include "event/loop.h"

#include <uv.h>

#include <csignal>
#include <deque>
#include <utility>

namespace almondtiller::event {

namespace {

struct signal_watcher
{
    uv_signal_t handle{};
    std::function<void()> action;
};

} // namespace

struct loop::state
{
    uv_loop_t native{};
    uv_idle_t idle{};
    const core::runtime_clock& clock;
    std::deque<std::function<void()>> posted;
    std::deque<signal_watcher> signals;

    explicit state(const core::runtime_clock& source) : clock(source)
    {}

    /// Runs the actions that were posted before this call.
    auto run_posted() -> void
    {
        auto batch = std::exchange(this->posted, {});
        for (auto& action : batch) {
            action();
        }
        if (this->posted.empty()) {
            uv_idle_stop(&this->idle);
        }
    }
};

loop::loop(const core::runtime_clock& clock)
    : data(std::make_unique<state>(clock))
{
    // A write to a connection that the peer has closed must return an error
    // rather than terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&this->data->native);
    uv_idle_init(&this->data->native, &this->data->idle);
    this->data->idle.data = this->data.get();
}

loop::~loop()
{
    // Posted actions may own handles, which must be closed before the loop.
    while (!this->data->posted.empty()) {
        const auto dropped = std::exchange(this->data->posted, {});
    }
    uv_walk(
        &this->data->native,
        [](uv_handle_t* handle, void*) {
            if (uv_is_closing(handle) == 0) {
                uv_close(handle, nullptr);
            }
        },
        nullptr);
    uv_run(&this->data->native, UV_RUN_NOWAIT);
    uv_loop_close(&this->data->native);
}

auto loop::run() -> void
{
    uv_run(&this->data->native, UV_RUN_DEFAULT);
}

auto loop::run_once() -> bool
{
    return uv_run(&this->data->native, UV_RUN_NOWAIT) != 0;
}

auto loop::stop() -> void
{
    uv_stop(&this->data->native);
}

auto loop::post(std::function<void()> action) -> void
{
    if (this->data->posted.empty()) {
        uv_idle_start(&this->data->idle, [](uv_idle_t* idle) {
            static_cast<state*>(idle->data)->run_posted();
        });
    }
    this->data->posted.push_back(std::move(action));
}

auto loop::on_signal(int number, std::function<void()> action) -> void
{
    auto& watcher = this->data->signals.emplace_back();
    watcher.action = std::move(action);
    watcher.handle.data = &watcher;
    uv_signal_init(&this->data->native, &watcher.handle);
    uv_signal_start(
        &watcher.handle,
        [](uv_signal_t* handle, int) {
            static_cast<signal_watcher*>(handle->data)->action();
        },
        number);
}

auto loop::now() const -> core::time_point
{
    return this->data->clock.now();
}

auto loop::native() -> uv_loop_s*
{
    return &this->data->native;
}

} // namespace almondtiller::event
