#include "event/signal_hold.h"

namespace almondtiller::event {

signal_hold::signal_hold(std::initializer_list<int> numbers)
{
    sigemptyset(&this->held);
    for (const auto number : numbers) {
        sigaddset(&this->held, number);
    }
    pthread_sigmask(SIG_BLOCK, &this->held, nullptr);
}

signal_hold::~signal_hold()
{
    this->release();
}

auto signal_hold::release() -> void
{
    pthread_sigmask(SIG_UNBLOCK, &this->held, nullptr);
}

} // namespace almondtiller::event
