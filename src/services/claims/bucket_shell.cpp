#include "services/claims/bucket_shell.h"

#include "services/claims/claims_metrics.h"

#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto store_timeout = core::milliseconds(2000);

/// How long after its deadline a claim's decision may take to arrive.
constexpr auto decision_grace = core::milliseconds(60000);

auto to_versioned(const core::result<platform::object>& read)
    -> core::result<std::pair<std::uint64_t, std::string>>
{
    if (!read) {
        return read.error();
    }
    return std::pair(read.value().version, read.value().value);
}

} // namespace

bucket_shell::bucket_shell(std::string object_name,
                           claims::bucket_environment environment,
                           platform::object_store& store,
                           store_executor& executor, core::runtime_clock& clock,
                           core::metrics_registry& metrics)
    : object{"claim", std::move(object_name)},
      store(store),
      executor(executor),
      clock(clock),
      metrics(metrics),
      bucket(std::move(environment))
{}

auto bucket_shell::want(const claims::claim_wanted& wanted)
    -> claims::claim_decided
{
    auto lock = std::unique_lock(this->mutex);
    this->perform(this->bucket.want(wanted, this->at()));
    const auto is_decided = [this, &wanted] {
        return this->decided.contains(wanted.claim);
    };
    const auto limit = wanted.deadline + decision_grace;
    if (!this->clock.wait_until(lock, this->changed, limit, is_decided)) {
        return {wanted.claim, claims::claims_errc::deadline_passed, {}, {}};
    }
    return this->decided.extract(wanted.claim).mapped();
}

auto bucket_shell::finish(const std::string& key,
                          const claims::claim_record& end,
                          core::milliseconds patience) -> bool
{
    auto lock = std::unique_lock(this->mutex);
    this->waiting_for_end.insert(end.claim);
    this->perform(this->bucket.finish(key, end, this->at()));
    const auto is_recorded = [this, &end] {
        return !this->waiting_for_end.contains(end.claim);
    };
    const auto limit = this->clock.now() + patience;
    const auto recorded =
        this->clock.wait_until(lock, this->changed, limit, is_recorded);
    this->waiting_for_end.erase(end.claim);
    return recorded;
}

auto bucket_shell::advance() -> void
{
    const auto guard = std::lock_guard(this->mutex);
    const auto timer = this->bucket.next_timer();
    if (timer && *timer <= this->clock.now()) {
        this->perform(this->bucket.advance(this->at()));
    }
}

auto bucket_shell::pending() const -> std::size_t
{
    const auto guard = std::lock_guard(this->mutex);
    return this->bucket.pending();
}

auto bucket_shell::perform(const claims::bucket_actions& actions) -> void
{
    for (const auto& action : actions) {
        if (const auto* read = std::get_if<claims::read_bucket>(&action)) {
            this->submit(*read);
        } else if (const auto* write =
                       std::get_if<claims::write_bucket>(&action)) {
            this->submit(*write);
        } else if (const auto* settled =
                       std::get_if<claims::claim_decided>(&action)) {
            this->decided.emplace(settled->claim, *settled);
        } else if (const auto* end =
                       std::get_if<claims::end_recorded>(&action)) {
            this->waiting_for_end.erase(end->claim);
        }
    }
    this->changed.notify_all();
}

auto bucket_shell::submit(const claims::read_bucket& call) -> void
{
    static_cast<void>(call);
    this->executor.submit([this] {
        const auto answer =
            to_versioned(this->store.get(this->object, store_timeout));
        this->count("read", answer ? std::error_code() : answer.error());
        const auto guard = std::lock_guard(this->mutex);
        this->perform(this->bucket.was_read(answer, this->at()));
    });
}

auto bucket_shell::submit(const claims::write_bucket& call) -> void
{
    this->executor.submit([this, call] {
        const auto answer =
            call.expected
                ? this->store.update(this->object, *call.expected, call.value,
                                     store_timeout)
                : this->store.create(this->object, call.value, store_timeout);
        this->count("write", answer ? std::error_code() : answer.error());
        const auto guard = std::lock_guard(this->mutex);
        this->perform(this->bucket.was_written(answer, this->at()));
    });
}

auto bucket_shell::count(const char* call, const std::error_code& error) -> void
{
    this->metrics
        .counter_for(claim_store_calls,
                     {{"call", call}, {"result", core::error_name(error)}})
        .add();
}

auto bucket_shell::at() const -> claims::moment
{
    const auto wall = this->clock.wall_now().time_since_epoch();
    return {this->clock.now(),
            std::chrono::duration_cast<core::milliseconds>(wall).count()};
}

} // namespace almondtiller::services
