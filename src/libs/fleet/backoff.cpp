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
    ++this->failure_count;
    const auto doublings = std::min(this->failure_count, max_doublings);
    const auto longest =
        std::min(this->options.max_pause,
                 this->options.min_pause * (std::int64_t(1) << doublings));
    const auto spread = (longest - this->options.min_pause).count();
    return this->options.min_pause +
           core::milliseconds(random.below(std::uint64_t(spread) + 1));
}

auto backoff::succeeded() -> void
{
    this->failure_count = 0;
}

auto backoff::failures() const -> std::uint32_t
{
    return this->failure_count;
}

} // namespace almondtiller::fleet
