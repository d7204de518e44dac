#include "services/gateway/store_mirror.h"

#include "platform/adapter_errc.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Timeout of a list, and of a watch beyond its wait. A slow store still
/// answers within a few hundred milliseconds.
constexpr auto call_limit = core::milliseconds(1000);
constexpr auto shortest_backoff = core::milliseconds(100);
constexpr auto longest_backoff = core::milliseconds(800);
constexpr auto failure_status = 0;

} // namespace

auto text_of(adapter::object_kind kind) -> std::string_view
{
    switch (kind) {
    case adapter::object_kind::configurations:
        return "configurations";
    case adapter::object_kind::upstreams:
        return "upstreams";
    case adapter::object_kind::evacuations:
        return "evacuations";
    case adapter::object_kind::nodes:
        return "nodes";
    }
    return "unknown";
}

store_mirror::store_mirror(event::loop& loop, http1::client_pool& calls,
                           core::endpoint address, adapter::object_kind kind,
                           core::milliseconds between, event_log& lines,
                           hooks hooked)
    : owner(loop),
      pool(calls),
      store(std::move(address)),
      object_kind(kind),
      pause(between),
      log(lines),
      called(std::move(hooked)),
      next(loop, [this]() { this->read(); }),
      limit(loop, [this]() {
          if (const auto slow = std::exchange(this->active, nullptr)) {
              slow->cancel();
          }
          this->fail(failure_status, "no_answer");
      })
{}

auto store_mirror::start() -> void
{
    this->read();
}

auto store_mirror::read() -> void
{
    if (!this->follows) {
        return;
    }
    if (this->must_list) {
        this->incoming.clear();
        this->list("");
    } else {
        this->watch();
    }
}

auto store_mirror::call(std::string request, core::milliseconds most,
                        std::function<void(int, std::string)> done) -> void
{
    ++this->made;
    this->called_at = this->owner.now();
    this->limit.start(most);
    auto body = std::make_shared<std::string>();
    auto status = std::make_shared<int>(failure_status);
    auto called_back = http1::pool_hooks();
    called_back.on_head = [status](const http1::response_head& head) {
        *status = head.status;
    };
    called_back.on_body = [body](std::string_view bytes) {
        *body += bytes;
    };
    called_back.on_done = [this, body, status, done = std::move(done)](
                              std::error_code error, bool) {
        this->limit.stop();
        this->active.reset();
        done(error ? failure_status : *status, std::move(*body));
    };
    auto options = http1::call_options();
    // A page is a megabyte; the answer to a watch may contain several objects
    // of that size.
    options.largest_body = std::uint64_t(16) << 20U;
    this->active = this->pool.call({"store", this->store}, std::move(request),
                                   options, std::move(called_back));
}

auto store_mirror::has_many() const -> bool
{
    return this->object_kind == adapter::object_kind::upstreams ||
           this->object_kind == adapter::object_kind::nodes;
}

auto store_mirror::list(const std::string& after) -> void
{
    // The first list of a kind with many objects may be stale, because the
    // watch that follows it returns the changes since. Later lists must not be
    // older than the current revision.
    const auto is_first = this->current_revision == 0;
    const auto wanted = is_first && this->has_many()
                            ? adapter::freshness::may_be_stale
                            : adapter::freshness::newest;
    if (after.empty()) {
        this->incoming.clear();
        this->incoming_revision = std::numeric_limits<std::int64_t>::max();
    }
    this->call(
        adapter::encode_list(this->store, this->object_kind, after, wanted),
        call_limit, [this](int status, const std::string& body) {
            this->on_page(status, body);
        });
}

auto store_mirror::on_page(int status, const std::string& body) -> void
{
    if (adapter::store_error(status)) {
        this->fail(status, "list_refused");
        return;
    }
    auto page = adapter::decode_page(body);
    if (!page) {
        this->fail(status, "list_unreadable");
        return;
    }
    this->count_unreadable(page.value().unreadable);
    // The next watch starts at the revision of the oldest page, so that it
    // returns changes made while later pages were read.
    this->incoming_revision =
        std::min(this->incoming_revision, page.value().revision);
    for (auto& object : page.value().objects) {
        this->incoming[object.name] = std::move(object);
    }
    if (!page.value().next_after.empty()) {
        this->list(page.value().next_after);
        return;
    }
    this->must_list = false;
    this->succeed();
    if (this->incoming_revision >= this->current_revision) {
        this->current = std::exchange(this->incoming, {});
        this->current_revision = this->incoming_revision;
        this->listed = true;
        this->forget_history();
        this->called.on_list();
    }
    this->watch();
}

auto store_mirror::watch() -> void
{
    const auto wait = std::exchange(this->must_probe, false)
                          ? core::milliseconds(0)
                          : this->called.watch_wait();
    this->call(adapter::encode_watch(this->store, this->object_kind,
                                     this->current_revision, wait),
               wait + call_limit, [this](int status, const std::string& body) {
                   this->on_watched(status, body);
               });
}

auto store_mirror::on_watched(int status, const std::string& body) -> void
{
    const auto error = adapter::store_error(status);
    if (error == adapter::adapter_errc::history_gone) {
        this->must_list = true;
        this->log.write(severity::notice, "store_history_gone",
                        {{"kind", std::string(text_of(this->object_kind))},
                         {"revision", std::to_string(this->current_revision)}});
        this->read();
        return;
    }
    if (error) {
        this->fail(status, "watch_refused");
        return;
    }
    auto seen = adapter::decode_changes(body);
    if (!seen) {
        this->must_list = true;
        this->fail(status, "watch_unreadable");
        return;
    }
    this->succeed();
    this->count_unreadable(seen.value().unreadable);
    const auto is_changed = this->apply(seen.value());
    this->next.start(is_changed ? this->pause : core::milliseconds(0));
}

auto store_mirror::set_following(bool wanted) -> void
{
    if (std::exchange(this->follows, wanted) == wanted) {
        return;
    }
    this->log.write(severity::notice, "store_following",
                    {{"kind", std::string(text_of(this->object_kind))},
                     {"follows", wanted ? "yes" : "no"},
                     {"revision", std::to_string(this->current_revision)}});
    if (wanted) {
        this->must_probe = this->listed;
        this->read();
        return;
    }
    this->next.stop();
    this->limit.stop();
    if (const auto open = std::exchange(this->active, nullptr)) {
        open->cancel();
    }
}

auto store_mirror::is_following() const -> bool
{
    return this->follows;
}

auto store_mirror::fail(int status, std::string_view reason) -> void
{
    this->limit.stop();
    this->failed_at = this->owner.now();
    this->must_probe = true;
    if (std::exchange(this->connected, false) || this->failures == 0) {
        this->log.write(severity::notice, "store_lost",
                        {{"kind", std::string(text_of(this->object_kind))},
                         {"reason", std::string(reason)},
                         {"status", std::to_string(status)},
                         {"revision", std::to_string(this->current_revision)}});
    }
    const auto shift = std::min(this->failures, 4);
    const auto is_first = this->failures == 0;
    ++this->failures;
    if (is_first && this->called.on_failed) {
        this->called.on_failed();
    }
    this->next.start(
        std::min(shortest_backoff * (1 << shift), longest_backoff));
}

auto store_mirror::succeed() -> void
{
    this->failures = 0;
    if (!std::exchange(this->connected, true)) {
        this->log.write(severity::notice, "store_regained",
                        {{"kind", std::string(text_of(this->object_kind))},
                         {"revision", std::to_string(this->current_revision)}});
    }
}

auto store_mirror::count_unreadable(std::size_t entries) -> void
{
    if (entries > 0) {
        this->log.write(severity::notice, "store_entries_unreadable",
                        {{"kind", std::string(text_of(this->object_kind))},
                         {"entries", std::to_string(entries)}});
    }
}

auto store_mirror::nudge(core::milliseconds patience) -> void
{
    const auto is_silent = this->active != nullptr &&
                           this->owner.now() - this->called_at > patience;
    if (is_silent) {
        std::exchange(this->active, nullptr)->cancel();
        this->limit.stop();
        this->must_probe = true;
        this->read();
    }
}

auto store_mirror::objects() const
    -> const std::map<std::string, adapter::stored_object>&
{
    return this->current;
}

auto store_mirror::revision() const -> std::int64_t
{
    return this->current_revision;
}

auto store_mirror::kind() const -> adapter::object_kind
{
    return this->object_kind;
}

auto store_mirror::has_list() const -> bool
{
    return this->listed;
}

auto store_mirror::is_connected() const -> bool
{
    return this->connected;
}

auto store_mirror::last_failure() const -> core::time_point
{
    return this->failed_at;
}

auto store_mirror::calls_made() const -> std::uint64_t
{
    return this->made;
}

} // namespace almondtiller::gateway
