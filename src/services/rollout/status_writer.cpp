#include "services/rollout/status_writer.h"

#include "platform/adapter_errc.h"

#include <memory>
#include <utility>

namespace almondtiller::rollout {

namespace {

constexpr auto retry_delay = core::milliseconds(500);

auto to_platform(order_state state) -> adapter::rollout_state
{
    switch (state) {
    case order_state::running:
        return adapter::rollout_state::running;
    case order_state::completed:
        return adapter::rollout_state::completed;
    case order_state::rolled_back:
        break;
    }
    return adapter::rollout_state::rolled_back;
}

} // namespace

status_writer::status_writer(
    rollout::order written, send write_call,
    std::function<void(const adapter::stored_object&)> on_present)
    : order(std::move(written)),
      write(std::move(write_call)),
      notify_present(std::move(on_present))
{}

auto status_writer::update(const known_order& known, order_state wanted,
                           core::time_point now) -> void
{
    if (this->is_open || known.order != this->order || is_final(known.stored) ||
        known.stored == wanted) {
        return;
    }
    if (this->has_failed && now - this->last_write < retry_delay) {
        return;
    }
    this->is_open = true;
    this->has_failed = false;
    this->last_write = now;
    ++this->write_count;
    this->write(this->order.service.str(),
                {to_platform(wanted), this->order.to}, known.revision,
                [this, guard = std::weak_ptr<int>(this->alive)](
                    const write_response& response) {
                    if (!guard.expired()) {
                        this->on_response(response);
                    }
                });
}

auto status_writer::on_response(const write_response& response) -> void
{
    this->is_open = false;
    const auto is_answered =
        !response.error || response.error == adapter::adapter_errc::conflict;
    const auto is_of_order =
        response.present && read_order(*response.present) == this->order;
    // A conflict with an object that is not the order's shows that the order
    // was replaced, which the next read of the store brings.
    this->has_failed = !is_answered || !is_of_order;
    if (is_answered && is_of_order) {
        this->notify_present(*response.present);
    }
}

auto status_writer::writes() const -> std::uint64_t
{
    return this->write_count;
}

} // namespace almondtiller::rollout
