#include "services/gateway/node_registration.h"

#include "platform/adapter_errc.h"
#include "services/gateway/follower_limits.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace almondtiller::gateway {

namespace {

constexpr auto kind = adapter::object_kind::nodes;

auto has_entry(const serving::store_revision& revision) -> bool
{
    return revision != serving::store_revision();
}

/// Bounds a registration, because the store may not answer at all and a node
/// that is not registered gets no callers.
auto registration_options() -> http1::call_options
{
    auto options = http1::call_options();
    options.longest = announce_timeout;
    return options;
}

} // namespace

node_registration::node_registration(event::loop& loop,
                                     http1::client_pool& calls,
                                     core::endpoint address, event_log& logger,
                                     std::function<void()> on_changed)
    : pool(calls),
      store(std::move(address)),
      log(logger),
      notify_changed(std::move(on_changed)),
      retry_timer(loop, [this]() { this->write(); })
{}

auto node_registration::set_entry(adapter::node_entry own_entry) -> void
{
    this->entry = std::move(own_entry);
}

auto node_registration::announce() -> void
{
    if (!std::exchange(this->is_announced, true)) {
        this->write();
    }
}

auto node_registration::write() -> void
{
    if (this->is_withdrawn || this->is_writing) {
        return;
    }
    this->is_writing = true;
    this->retry_timer.stop();
    const auto name = this->entry.node.str();
    const auto content = adapter::encode_node(this->entry);
    auto status = std::make_shared<int>(0);
    auto era = std::make_shared<std::int64_t>(0);
    auto body = std::make_shared<std::string>();
    auto hooks = http1::pool_hooks();
    hooks.on_head = [status, era](const http1::response_head& head) {
        *status = head.status;
        *era = adapter::store_era(head.headers);
    };
    hooks.on_body = [body](std::string_view bytes) {
        *body += bytes;
    };
    hooks.on_done = [this, status, era, body](std::error_code error, bool) {
        this->is_writing = false;
        this->on_written(error ? error : adapter::store_error(*status), *body,
                         *era);
    };
    this->pool.call(
        {"store", this->store},
        !has_entry(this->replaced_revision)
            ? adapter::encode_create(this->store, kind, name, content)
            : adapter::encode_replace(this->store, kind, name, content,
                                      this->replaced_revision),
        registration_options(), std::move(hooks));
}

auto node_registration::on_written(std::error_code error,
                                   const std::string& body, std::int64_t era)
    -> void
{
    using adapter::adapter_errc;
    const auto written = adapter::decode_object(body, era);
    if (!error) {
        if (written) {
            this->had_conflict = false;
            this->set_own_revision(written.value().revision);
        } else {
            this->retry_later(written.error().message());
        }
    } else if (error == adapter_errc::conflict) {
        this->on_conflict(written);
    } else if (error == adapter_errc::not_found) {
        this->write_over({});
    } else {
        this->retry_later(error.message());
    }
    if (this->is_withdrawn) {
        this->remove();
    }
}

auto node_registration::on_conflict(
    const core::result<adapter::stored_object>& present) -> void
{
    if (!present) {
        this->retry_later(present.error().message());
        return;
    }
    if (this->is_own(present.value())) {
        // An earlier call, which was not answered, has been executed.
        this->had_conflict = false;
        this->set_own_revision(present.value().revision);
        return;
    }
    this->write_over(present.value().revision);
}

auto node_registration::write_over(const serving::store_revision& revision)
    -> void
{
    this->replaced_revision = revision;
    if (std::exchange(this->had_conflict, true)) {
        this->retry_later("changed again");
        return;
    }
    this->write();
}

auto node_registration::on_entries(
    const std::map<std::string, adapter::stored_object>& entries,
    const serving::store_revision& revision) -> void
{
    const auto found = entries.find(this->entry.node.str());
    if (!this->is_announced || this->is_withdrawn) {
        return;
    }
    if (found != entries.end() && this->is_own(found->second)) {
        this->retry_timer.stop();
        // These entries may be older than the last write.
        this->set_own_revision(
            std::max(this->own_revision, found->second.revision));
        return;
    }
    // Entries that were read before the last write do not show it.
    if (!this->is_registered() || revision < this->own_revision) {
        return;
    }
    this->replaced_revision = found == entries.end() ? serving::store_revision()
                                                     : found->second.revision;
    this->log.write(
        severity::notice, "registration_lost",
        {{"by", has_entry(this->replaced_revision) ? "replacement" : "removal"},
         {"era", std::to_string(revision.era)},
         {"revision", std::to_string(revision.number)},
         {"own_era", std::to_string(this->own_revision.era)},
         {"own_revision", std::to_string(this->own_revision.number)}});
    this->set_own_revision({});
    this->write();
}

auto node_registration::withdraw() -> void
{
    this->is_withdrawn = true;
    this->retry_timer.stop();
    if (!this->is_writing) {
        this->remove();
    }
}

auto node_registration::remove() -> void
{
    if (!this->is_registered()) {
        return;
    }
    auto hooks = http1::pool_hooks();
    hooks.on_done = [this](std::error_code error, bool) {
        if (error) {
            this->log.write(severity::notice, "withdraw_failed",
                            {{"error", error.message()}});
        }
    };
    this->pool.call({"store", this->store},
                    adapter::encode_remove(this->store, kind,
                                           this->entry.node.str(),
                                           this->own_revision),
                    registration_options(), std::move(hooks));
}

auto node_registration::retry_later(const std::string& reason) -> void
{
    this->log.write(severity::notice, "announce_failed", {{"error", reason}});
    if (!this->is_withdrawn) {
        this->retry_timer.start(announce_retry_delay);
    }
}

auto node_registration::set_own_revision(
    const serving::store_revision& revision) -> void
{
    const auto was_registered = this->is_registered();
    this->own_revision = revision;
    if (this->is_registered() != was_registered) {
        this->notify_changed();
    }
}

auto node_registration::is_registered() const -> bool
{
    return has_entry(this->own_revision);
}

auto node_registration::is_own(const adapter::stored_object& object) const
    -> bool
{
    const auto decoded = adapter::decode_node(object);
    return decoded && decoded.value().incarnation == this->entry.incarnation;
}

} // namespace almondtiller::gateway
