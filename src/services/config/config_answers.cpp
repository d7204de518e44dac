#include "fleet/fleet_errc.h"
#include "services/config/config_follower.h"

#include <algorithm>
#include <utility>

namespace almondtiller::services {

namespace {

constexpr auto revision_info =
    core::metric_info{"almondtiller_config_revision", core::metric_kind::gauge,
                      "Revision of the configuration in force."};

constexpr auto age_info = core::metric_info{
    "almondtiller_config_age_milliseconds", core::metric_kind::gauge,
    "Time since the platform confirmed the configuration; -1 when never."};

} // namespace

auto config_follower::answer_head(const std::string& body)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(theirs, fleet::decode_revision(body));
    const auto age = this->age_ms();
    const auto guard = std::lock_guard(this->mutex);
    const auto& head = this->assembler.head();
    auto answer = fleet::head_answer{head.revision, age, ""};
    if (head.revision > theirs) {
        answer.head = fleet::encode_head(head);
    }
    return fleet::encode_head_answer(answer);
}

auto config_follower::answer_shard(const std::string& digest)
    -> core::result<std::string>
{
    const auto guard = std::lock_guard(this->mutex);
    const auto text = this->assembler.shard(digest);
    if (!text) {
        return make_error_code(fleet::fleet_errc::shard_missing);
    }
    return *text;
}

auto config_follower::take_push(const core::node_id& sender,
                                const std::string& body)
    -> core::result<std::string>
{
    BOOST_OUTCOME_TRY(revision, fleet::decode_revision(body));
    this->hear_facts(sender, {revision, -1});
    return std::string();
}

auto config_follower::facts() -> fleet::config_status
{
    const auto told =
        fleet::config_status{this->current()->revision, this->age_ms()};
    this->metrics.gauge_for(revision_info).set(double(told.config_revision));
    this->metrics.gauge_for(age_info).set(double(told.config_age_ms));
    return told;
}

auto config_follower::hear_facts(const core::node_id& sender,
                                 const fleet::config_status& told) -> void
{
    auto is_newer = false;
    {
        const auto guard = std::lock_guard(this->mutex);
        this->contact.on_peer_contact(this->clock.now());
        is_newer = told.config_revision > this->assembler.newest_revision();
        if (is_newer) {
            this->hints.insert(sender);
        }
    }
    this->confirm(told.config_revision, told.config_age_ms);
    if (is_newer) {
        this->wake();
    }
}

/// A peer's confirmation counts when this node has at least what was
/// confirmed.
auto config_follower::confirm(std::uint64_t revision, std::int64_t age_ms)
    -> void
{
    const auto guard = std::lock_guard(this->mutex);
    if (age_ms < 0 || revision > this->assembler.in_force()->revision) {
        return;
    }
    const auto when = this->clock.now() - core::milliseconds(age_ms);
    this->confirmed = std::max(this->confirmed.value_or(when), when);
}

auto config_follower::current() const -> settings::snapshot_ptr
{
    const auto guard = std::lock_guard(this->mutex);
    return this->assembler.in_force();
}

auto config_follower::on_change(
    const fleet::config_source::change_handler& handler) -> void
{
    const auto order = std::lock_guard(this->delivery_mutex);
    auto snapshot = settings::snapshot_ptr();
    {
        const auto guard = std::lock_guard(this->mutex);
        this->handlers.push_back(handler);
        snapshot = this->assembler.in_force();
    }
    if (snapshot->revision > 0) {
        handler(snapshot);
    }
}

auto config_follower::is_isolated() const -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    return this->contact.is_isolated(this->clock.now());
}

auto config_follower::age_ms() const -> std::int64_t
{
    const auto guard = std::lock_guard(this->mutex);
    if (!this->confirmed) {
        return -1;
    }
    const auto age = this->clock.now() - *this->confirmed;
    return std::chrono::duration_cast<core::milliseconds>(age).count();
}

auto config_follower::is_watcher() const -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    return this->watcher;
}

} // namespace almondtiller::services
