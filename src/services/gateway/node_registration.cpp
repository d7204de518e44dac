#include "services/gateway/node_registration.h"

#include "platform/adapter_errc.h"
#include "services/gateway/follower_limits.h"

#include <memory>
#include <utility>

namespace almondtiller::gateway {

namespace {

constexpr auto kind = adapter::object_kind::nodes;

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
    auto body = std::make_shared<std::string>();
    auto hooks = http1::pool_hooks();
    hooks.on_head = [status](const http1::response_head& head) {
        *status = head.status;
    };
    hooks.on_body = [body](std::string_view bytes) {
        *body += bytes;
    };
    hooks.on_done = [this, status, body](std::error_code error, bool) {
        this->is_writing = false;
        this->on_written(error ? error : adapter::store_error(*status), *body);
    };
    this->pool.call(
        {"store", this->store},
        this->replaced_revision == 0
            ? adapter::encode_create(this->store, kind, name, content)
            : adapter::encode_replace(this->store, kind, name, content,
                                      this->replaced_revision),
        registration_options(), std::move(hooks));
}

auto node_registration::on_written(std::error_code error,
                                   const std::string& body) -> void
{
    using adapter::adapter_errc;
    if (!error) {
        if (const auto written = adapter::decode_object(body)) {
            this->had_conflict = false;
            this->set_own_revision(written.value().revision);
        } else {
            this->retry_later(written.error().message());
        }
    } else if (error == adapter_errc::conflict) {
        this->on_conflict(body);
    } else if (error == adapter_errc::not_found) {
        this->write_over(0);
    } else {
        this->retry_later(error.message());
    }
    if (this->is_withdrawn) {
        this->remove();
    }
}

auto node_registration::on_conflict(const std::string& body) -> void
{
    const auto present = adapter::decode_object(body);
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

auto node_registration::write_over(std::int64_t revision) -> void
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
    std::int64_t revision) -> void
{
    const auto found = entries.find(this->entry.node.str());
    if (!this->is_announced || this->is_withdrawn) {
        return;
    }
    if (found != entries.end() && this->is_own(found->second)) {
        this->retry_timer.stop();
        this->set_own_revision(found->second.revision);
        return;
    }
    // Entries that were read before the last write do not show it.
    if (this->own_revision == 0 || revision < this->own_revision) {
        return;
    }
    this->replaced_revision =
        found == entries.end() ? 0 : found->second.revision;
    this->log.write(
        severity::notice, "registration_lost",
        {{"by", this->replaced_revision == 0 ? "removal" : "replacement"},
         {"revision", std::to_string(revision)},
         {"own_revision", std::to_string(this->own_revision)}});
    this->set_own_revision(0);
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
    if (this->own_revision == 0) {
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

auto node_registration::set_own_revision(std::int64_t revision) -> void
{
    const auto was_registered = this->is_registered();
    this->own_revision = revision;
    if (this->is_registered() != was_registered) {
        this->notify_changed();
    }
}

auto node_registration::is_registered() const -> bool
{
    return this->own_revision != 0;
}

auto node_registration::is_own(const adapter::stored_object& object) const
    -> bool
{
    const auto decoded = adapter::decode_node(object);
    return decoded && decoded.value().incarnation == this->entry.incarnation;
}

} // namespace almondtiller::gateway
