#include "dispatch/repeat_budget.h"

namespace almondtiller::dispatch {

namespace {

/// Sends are counted in slices of this length.
constexpr auto slice_length = core::milliseconds(100);

} // namespace

repeat_budget::repeat_budget(double share, double constant,
                             core::duration length)
    : ratio(share), extra(constant), window(length)
{}

auto repeat_budget::set_extra(double constant) -> void
{
    this->extra = constant;
}

auto repeat_budget::current(core::time_point now) -> slice&
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

auto repeat_budget::deposit(core::time_point now) -> void
{
    ++this->current(now).firsts;
}

auto repeat_budget::try_withdraw(core::time_point now) -> bool
{
    auto& newest = this->current(now);
    auto firsts = std::size_t(0);
    auto repeats = std::size_t(0);
    for (const auto& part : this->slices) {
        // First sends of a slice that is partly outside the window do not
        // count.
        firsts += now - part.start <= this->window ? part.firsts : 0;
        repeats += part.repeats;
    }
    if (double(repeats) + 1.0 > this->ratio * double(firsts) + this->extra) {
        return false;
    }
    ++newest.repeats;
    return true;
}

} // namespace almondtiller::dispatch
