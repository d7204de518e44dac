#include "fleet/backoff.h"

#include <algorithm>

namespace almondtiller::fleet {

namespace {

constexpr auto max_doublings = std::uint32_t(16);

} // namespace

backoff::backoff(const backoff_options& options) : options(options)
{}

auto backoff::failed(core::random_source& random) -> core::milliseconds
{
    ++this->failed_tries;
    const auto doublings = std::min(this->failed_tries, max_doublings);
    const auto longest =
        std::min(this->options.most,
                 this->options.least * (std::int64_t(1) << doublings));
    const auto spread = (longest - this->options.least).count();
    return this->options.least +
           core::milliseconds(random.below(std::uint64_t(spread) + 1));
}

auto backoff::succeeded() -> void
{
    this->failed_tries = 0;
}

auto backoff::failures() const -> std::uint32_t
{
    return this->failed_tries;
}

} // namespace almondtiller::fleet
