#include "services/claims/bucket_set.h"

#include <array>
#include <cstdio>

namespace almondtiller::services {

namespace {

constexpr auto store_thread_count = 8U;
constexpr auto retention = core::milliseconds(3'600'000);
constexpr auto write_interval = core::milliseconds(100);
constexpr auto retry_pause = core::milliseconds(200);
/// Leaves room below the platform's limit for JSON escapes.
constexpr auto max_bucket_bytes = platform::max_value_bytes / 4 * 3;

auto bucket_name(std::uint32_t index) -> std::string
{
    auto digits = std::array<char, 8>{};
    std::snprintf(digits.data(), digits.size(), "%02x", index);
    return digits.data();
}

} // namespace

bucket_set::bucket_set(platform::object_store& store,
                       core::runtime_clock& clock,
                       core::metrics_registry& metrics,
                       const liveness& is_holder_alive)
    : executor(std::make_unique<store_executor>(store_thread_count))
{
    auto environment = claims::bucket_environment();
    environment.is_holder_alive = is_holder_alive;
    environment.retention = retention;
    environment.retry_pause = retry_pause;
    environment.max_value_bytes = max_bucket_bytes;
    environment.write_interval = write_interval;
    for (auto index = 0U; index < claim_bucket_count; ++index) {
        this->buckets.emplace_back(bucket_name(index), environment, store,
                                   *this->executor, clock, metrics);
    }
}

auto bucket_set::for_key(const std::string& key) -> bucket_shell&
{
    return this->buckets[claims::bucket_of(key, claim_bucket_count)];
}

auto bucket_set::advance() -> void
{
    for (auto& bucket : this->buckets) {
        bucket.advance();
    }
}

auto bucket_set::pending() const -> std::size_t
{
    auto sum = std::size_t(0);
    for (const auto& bucket : this->buckets) {
        sum += bucket.pending();
    }
    return sum;
}

auto bucket_set::stop() -> void
{
    this->executor->stop();
}

} // namespace almondtiller::services
