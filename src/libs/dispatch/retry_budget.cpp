#include "dispatch/retry_budget.h"

namespace almondtiller::dispatch {

namespace {

/// Sends are counted in slices of this length.
constexpr auto slice_length = core::milliseconds(100);

} // namespace

retry_budget::retry_budget(double share, double constant, core::duration length)
    : ratio(share), allowance(constant), window(length)
{}

auto retry_budget::set_allowance(double constant) -> void
{
    this->allowance = constant;
}

auto retry_budget::current(core::time_point now) -> slice&
{
    // A slice counts until it lies completely outside the window.
    while (!this->slices.empty() &&
           now - this->slices.front().start > this->window + slice_length) {
        this->slices.pop_front();
    }
    if (this->slices.empty() ||
        now - this->slices.back().start >= slice_length) {
        this->slices.push_back({now, 0, 0});
    }
    return this->slices.back();
}

auto retry_budget::deposit(core::time_point now) -> void
{
    ++this->current(now).first_sends;
}

auto retry_budget::try_withdraw(core::time_point now) -> bool
{
    auto& newest = this->current(now);
    auto first_sends = std::size_t(0);
    auto retries = std::size_t(0);
    for (const auto& part : this->slices) {
        // First sends of a slice that is partly outside the window do not
        // count.
        first_sends += now - part.start <= this->window ? part.first_sends : 0;
        retries += part.retries;
    }
    if (double(retries) + 1.0 >
        this->ratio * double(first_sends) + this->allowance) {
        return false;
    }
    ++newest.retries;
    return true;
}

} // namespace almondtiller::dispatch
