#include "services/claims/bucket_shell.h"

#include "services/claims/claims_metrics.h"

#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto store_timeout = core::milliseconds(2000);

auto to_versioned(const core::result<platform::object>& read)
    -> core::result<std::pair<std::uint64_t, std::string>>
{
    if (!read) {
        return read.error();
    }
    return std::pair(read.value().version, read.value().value);
}

auto run_all(const std::vector<std::function<void()>>& notifications) -> void
{
    for (const auto& notification : notifications) {
        notification();
    }
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

auto bucket_shell::want(const claims::claim_wanted& wanted,
                        decided_handler decided) -> void
{
    auto due = notifications();
    {
        const auto guard = std::lock_guard(this->mutex);
        this->waiting_claims.emplace(wanted.claim, std::move(decided));
        due = this->perform(this->bucket.want(wanted, this->at()));
    }
    run_all(due);
}

auto bucket_shell::finish(const std::string& key,
                          const claims::claim_record& end,
                          recorded_handler recorded) -> void
{
    auto due = notifications();
    {
        const auto guard = std::lock_guard(this->mutex);
        this->waiting_ends[end.claim] = std::move(recorded);
        due = this->perform(this->bucket.finish(key, end, this->at()));
    }
    run_all(due);
}

auto bucket_shell::advance() -> void
{
    auto due = notifications();
    {
        const auto guard = std::lock_guard(this->mutex);
        const auto timer = this->bucket.next_timer();
        if (timer && *timer <= this->clock.now()) {
            due = this->perform(this->bucket.advance(this->at()));
        }
    }
    run_all(due);
}

auto bucket_shell::pending() const -> std::size_t
{
    const auto guard = std::lock_guard(this->mutex);
    return this->bucket.pending();
}

auto bucket_shell::perform(const claims::bucket_actions& actions)
    -> notifications
{
    auto due = notifications();
    for (const auto& action : actions) {
        if (std::holds_alternative<claims::read_bucket>(action)) {
            this->executor.submit([this] { this->read(); });
        } else if (const auto* call =
                       std::get_if<claims::write_bucket>(&action)) {
            this->executor.submit([this, call = *call] { this->write(call); });
        } else if (const auto* decided =
                       std::get_if<claims::claim_decided>(&action)) {
            due.push_back(this->notify(*decided));
        } else if (const auto* end =
                       std::get_if<claims::end_recorded>(&action)) {
            due.push_back(this->notify(*end));
        }
    }
    return due;
}

auto bucket_shell::notify(const claims::claim_decided& decided)
    -> std::function<void()>
{
    auto waiting = this->waiting_claims.extract(decided.claim);
    if (waiting.empty()) {
        return [] {
        };
    }
    return [handler = std::move(waiting.mapped()), decided] {
        handler(decided);
    };
}

auto bucket_shell::notify(const claims::end_recorded& end)
    -> std::function<void()>
{
    auto waiting = this->waiting_ends.extract(end.claim);
    if (waiting.empty()) {
        return [] {
        };
    }
    return [handler = std::move(waiting.mapped()), claim = end.claim] {
        handler(claim);
    };
}

auto bucket_shell::read() -> void
{
    const auto answer =
        to_versioned(this->store.get(this->object, store_timeout));
    this->count("read", answer ? std::error_code() : answer.error());
    auto due = notifications();
    {
        const auto guard = std::lock_guard(this->mutex);
        due = this->perform(this->bucket.was_read(answer, this->at()));
    }
    run_all(due);
}

auto bucket_shell::write(const claims::write_bucket& call) -> void
{
    const auto answer =
        call.expected
            ? this->store.update(this->object, *call.expected, call.value,
                                 store_timeout)
            : this->store.create(this->object, call.value, store_timeout);
    this->count("write", answer ? std::error_code() : answer.error());
    auto due = notifications();
    {
        const auto guard = std::lock_guard(this->mutex);
        due = this->perform(this->bucket.was_written(answer, this->at()));
    }
    run_all(due);
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
