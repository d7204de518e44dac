#include "services/gateway/store_mirror.h"

#include "platform/adapter_errc.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace almondtiller::gateway {

namespace {

/// Timeout of a list, and of a watch beyond its wait. A slow store still
/// answers within a few hundred milliseconds.
constexpr auto call_timeout = core::milliseconds(1000);
constexpr auto min_backoff = core::milliseconds(100);
constexpr auto max_backoff = core::milliseconds(800);
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
    case adapter::object_kind::rollouts:
        return "rollouts";
    }
    return "unknown";
}

store_mirror::store_mirror(event::loop& loop, http1::client_pool& calls,
                           core::endpoint address, adapter::object_kind kind,
                           core::milliseconds pause_between, event_log& logger,
                           hooks given_hooks)
    : event_loop(loop),
      pool(calls),
      store(std::move(address)),
      object_kind(kind),
      pause(pause_between),
      log(logger),
      callbacks(std::move(given_hooks)),
      read_timer(loop, [this]() { this->read_store(); }),
      timeout_timer(loop, [this]() {
          if (const auto slow = std::exchange(this->active, nullptr)) {
              slow->cancel();
          }
          this->fail(failure_status, "no_answer");
      })
{}

auto store_mirror::start() -> void
{
    this->read_store();
}

auto store_mirror::read_store() -> void
{
    if (!this->follows) {
        return;
    }
    // The history of an earlier era does not continue.
    if (this->must_list || this->current_revision.era < this->store_era) {
        this->incoming.clear();
        this->list("");
    } else {
        this->watch();
    }
}

auto store_mirror::call(std::string request, core::milliseconds timeout,
                        std::function<void(const store_answer&)> done) -> void
{
    ++this->call_count;
    this->call_started = this->event_loop.now();
    this->timeout_timer.start(timeout);
    auto answer = std::make_shared<store_answer>();
    auto pool_callbacks = http1::pool_hooks();
    pool_callbacks.on_head = [answer](const http1::response_head& head) {
        answer->status = head.status;
        answer->era = adapter::store_era(head.headers);
    };
    pool_callbacks.on_body = [answer](std::string_view bytes) {
        answer->body += bytes;
    };
    pool_callbacks.on_done =
        [this, answer, done = std::move(done)](std::error_code error, bool) {
            this->timeout_timer.stop();
            this->active.reset();
            if (error) {
                answer->status = failure_status;
            }
            done(*answer);
        };
    auto options = http1::call_options();
    // A page is a megabyte; the answer to a watch may contain several objects
    // of that size.
    options.largest_body = std::uint64_t(16) << 20U;
    this->active = this->pool.call({"store", this->store}, std::move(request),
                                   options, std::move(pool_callbacks));
}

auto store_mirror::may_begin_stale() const -> bool
{
    return this->object_kind == adapter::object_kind::upstreams ||
           this->object_kind == adapter::object_kind::nodes ||
           this->object_kind == adapter::object_kind::rollouts;
}

auto store_mirror::list(const std::string& after) -> void
{
    // The first list may be stale, because the watch that follows it returns
    // the changes since. Later lists must not be older than the current
    // revision.
    const auto is_first = !this->listed;
    const auto wanted = is_first && this->may_begin_stale()
                            ? adapter::freshness::may_be_stale
                            : adapter::freshness::newest;
    if (after.empty()) {
        this->incoming.clear();
        this->incoming_revision = {this->store_era,
                                   std::numeric_limits<std::int64_t>::max()};
    }
    this->call(
        adapter::encode_list(this->store, this->object_kind, after, wanted),
        call_timeout,
        [this](const store_answer& answer) { this->on_page(answer); });
}

auto store_mirror::on_page(const store_answer& answer) -> void
{
    if (this->check_era(answer)) {
        return;
    }
    if (adapter::store_error(answer.status)) {
        this->fail(answer.status, "list_refused");
        return;
    }
    auto page = adapter::decode_page(answer.body, this->store_era);
    if (!page) {
        this->fail(answer.status, "list_unreadable");
        return;
    }
    this->log_unreadable_entries(page.value().unreadable);
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
    this->on_whole_list();
}

auto store_mirror::on_whole_list() -> void
{
    this->must_list = false;
    this->succeed();
    if (this->incoming_revision < this->current_revision) {
        // A peer has provided newer objects meanwhile, or the store was
        // restored and states no era. It rejects a watch at once then.
        this->read_timer.start(min_backoff);
        return;
    }
    this->begin_era(this->incoming_revision);
    this->current = std::exchange(this->incoming, {});
    this->current_revision = this->incoming_revision;
    this->listed = true;
    this->clear_history();
    this->callbacks.on_list();
    this->watch();
}

auto store_mirror::cancel_call() -> void
{
    this->read_timer.stop();
    this->timeout_timer.stop();
    if (const auto open = std::exchange(this->active, nullptr)) {
        open->cancel();
    }
}

auto store_mirror::watch() -> void
{
    const auto wait = std::exchange(this->must_probe, false)
                          ? core::milliseconds(0)
                          : this->callbacks.watch_wait();
    this->call(adapter::encode_watch(this->store, this->object_kind,
                                     this->current_revision, wait),
               wait + call_timeout, [this](const store_answer& answer) {
                   this->on_watch_answer(answer);
               });
}

auto store_mirror::on_watch_answer(const store_answer& answer) -> void
{
    if (this->check_era(answer)) {
        return;
    }
    const auto status = answer.status;
    const auto error = adapter::store_error(status);
    if (error == adapter::adapter_errc::history_gone) {
        this->must_list = true;
        this->log.write(
            severity::notice, "store_history_gone",
            {{"kind", std::string(text_of(this->object_kind))},
             {"revision", std::to_string(this->current_revision.number)}});
        this->read_store();
        return;
    }
    if (status == failure_status && this->connected && !this->is_checking_cut) {
        this->on_watch_cut();
        return;
    }
    if (error) {
        this->fail(status, "watch_refused");
        return;
    }
    auto received = adapter::decode_changes(answer.body, this->store_era);
    if (!received) {
        this->must_list = true;
        this->fail(status, "watch_unreadable");
        return;
    }
    this->succeed();
    this->log_unreadable_entries(received.value().unreadable);
    const auto is_changed = this->apply(received.value());
    this->read_timer.start(is_changed ? this->pause : core::milliseconds(0));
}

auto store_mirror::on_watch_cut() -> void
{
    this->is_checking_cut = true;
    this->must_probe = true;
    this->log.write(
        severity::notice, "store_watch_cut",
        {{"kind", std::string(text_of(this->object_kind))},
         {"revision", std::to_string(this->current_revision.number)}});
    if (this->callbacks.on_failed) {
        this->callbacks.on_failed();
    }
    this->read_timer.start(min_backoff);
}

auto store_mirror::set_following(bool wanted) -> void
{
    if (std::exchange(this->follows, wanted) == wanted) {
        return;
    }
    this->log.write(
        severity::notice, "store_following",
        {{"kind", std::string(text_of(this->object_kind))},
         {"follows", wanted ? "yes" : "no"},
         {"revision", std::to_string(this->current_revision.number)}});
    if (wanted) {
        this->must_probe = this->listed;
        this->read_store();
        return;
    }
    this->cancel_call();
}

auto store_mirror::is_following() const -> bool
{
    return this->follows;
}

auto store_mirror::fail(int status, std::string_view reason) -> void
{
    this->is_checking_cut = false;
    this->timeout_timer.stop();
    this->failed_at = this->event_loop.now();
    this->outage_end = this->failed_at;
    this->must_probe = true;
    if (std::exchange(this->connected, false) || this->failures == 0) {
        this->log.write(
            severity::notice, "store_lost",
            {{"kind", std::string(text_of(this->object_kind))},
             {"reason", std::string(reason)},
             {"status", std::to_string(status)},
             {"revision", std::to_string(this->current_revision.number)}});
    }
    const auto shift = std::min(this->failures, 4);
    const auto is_first = this->failures == 0;
    ++this->failures;
    if (is_first && this->callbacks.on_failed) {
        this->callbacks.on_failed();
    }
    this->read_timer.start(std::min(min_backoff * (1 << shift), max_backoff));
}

auto store_mirror::succeed() -> void
{
    this->is_checking_cut = false;
    if (std::exchange(this->failures, 0) > 0) {
        this->outage_end = this->event_loop.now();
    }
    if (!std::exchange(this->connected, true)) {
        this->log.write(
            severity::notice, "store_regained",
            {{"kind", std::string(text_of(this->object_kind))},
             {"revision", std::to_string(this->current_revision.number)}});
    }
}

auto store_mirror::log_unreadable_entries(std::size_t entries) -> void
{
    if (entries > 0) {
        this->log.write(severity::notice, "store_entries_unreadable",
                        {{"kind", std::string(text_of(this->object_kind))},
                         {"entries", std::to_string(entries)}});
    }
}

auto store_mirror::restart_silent_call(core::milliseconds max_age) -> void
{
    const auto is_silent =
        this->active != nullptr &&
        this->event_loop.now() - this->call_started > max_age;
    if (is_silent) {
        std::exchange(this->active, nullptr)->cancel();
        this->timeout_timer.stop();
        this->must_probe = true;
        this->read_store();
    }
}

auto store_mirror::objects() const
    -> const std::map<std::string, adapter::stored_object>&
{
    return this->current;
}

auto store_mirror::revision() const -> serving::store_revision
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

auto store_mirror::last_outage() const -> std::optional<core::time_point>
{
    return this->follows && this->failures > 0 ? this->event_loop.now()
                                               : this->outage_end;
}

auto store_mirror::calls_made() const -> std::uint64_t
{
    return this->call_count;
}

} // namespace almondtiller::gateway
