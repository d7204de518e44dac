#include "platform_routes.h"

#include "standin/server.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace almondtiller::fake_platform {

namespace {

using nlohmann::json;
using standin::answer_json;

constexpr auto http_ok = 200;
constexpr auto http_bad_request = 400;
constexpr auto http_not_found = 404;
constexpr auto http_gone = 410;
constexpr auto http_precondition_required = 428;
constexpr auto http_too_large = 413;
constexpr auto http_too_many_requests = 429;
constexpr auto http_unavailable = 503;
constexpr auto max_value_bytes = std::size_t(1) << 20U;
constexpr auto longest_watch = core::milliseconds(60000);

auto to_json(const stored_object& object) -> json
{
    return {{"kind", object.kind},
            {"name", object.name},
            {"version", object.version},
            {"value", json::parse(object.value)}};
}

auto to_json(const stored_event& event) -> json
{
    if (event.removed) {
        return {{"type", "removed"},
                {"kind", event.object.kind},
                {"name", event.object.name},
                {"version", event.object.version}};
    }
    auto item = to_json(event.object);
    item["type"] = "put";
    return item;
}

auto number_of(const std::string& text) -> std::uint64_t
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

platform_routes::platform_routes(const platform_options& options)
    : record(this->clock, options.journal_path),
      meter(options.reads_per_second, options.writes_per_second),
      instance_table(options.list_lag),
      random(1)
{}

auto platform_routes::install(httplib::Server& http) -> void
{
    const auto guarded = [this](const std::string& what, guarded_call call) {
        return [this, what, call](const auto& request, auto& response) {
            this->guard(request, response, what, call);
        };
    };
    const auto* one = R"(/v1/objects/([\w.-]+)/([\w.-]+))";
    http.Get(one, guarded("get", &platform_routes::get));
    http.Get(R"(/v1/objects/([\w.-]+))",
             guarded("list", &platform_routes::list));
    http.Put(one, guarded("put", &platform_routes::put));
    http.Delete(one, guarded("remove", &platform_routes::remove));
    http.Get(R"(/v1/watch/([\w.-]+))",
             guarded("watch", &platform_routes::watch));
    http.Get("/v1/instances",
             guarded("instances", &platform_routes::instances));
    this->install_admin(http);
}

auto platform_routes::install_admin(httplib::Server& http) -> void
{
    http.Post("/admin/instances", [this](const auto& request, auto& response) {
        const auto guard = std::lock_guard(this->mutex);
        this->instance_table.replace(request.body, this->clock.now());
        answer_json(response, http_ok, "{}");
    });
    http.Post("/admin/fault", [this](const auto& request, auto& response) {
        this->set_fault(request, response);
    });
    http.Get("/admin/journal", [this](const auto&, auto& response) {
        response.set_content(this->record.text(), "application/jsonl");
    });
    http.Get("/admin/stats", [this](const auto&, auto& response) {
        const auto guard = std::lock_guard(this->mutex);
        answer_json(response, http_ok, this->meter.text());
    });
}

auto platform_routes::guard(const httplib::Request& request,
                            httplib::Response& response,
                            const std::string& what, guarded_call call) -> void
{
    auto lock = std::unique_lock(this->mutex);
    const auto is_write = request.method != "GET";
    const auto caller = request.get_header_value("x-caller");
    if (!this->meter.take(caller, what, is_write, this->clock.now())) {
        response.set_header("Retry-After", "1");
        answer_json(response, http_too_many_requests, "{}");
        return;
    }
    if (this->current.mode == "slow") {
        const auto until = this->clock.now() + this->current.delay;
        this->clock.wait_until(lock, this->changed, until,
                               [this] { return this->current.mode != "slow"; });
    }
    if (this->current.mode == "down") {
        answer_json(response, http_unavailable, "{}");
        return;
    }
    lock.unlock();
    (this->*call)(request, response);
}

auto platform_routes::get(const httplib::Request& request,
                          httplib::Response& response) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    const auto* found =
        this->objects.find(request.matches[1].str(), request.matches[2].str());
    if (found == nullptr) {
        answer_json(response, http_not_found, "{}");
        return;
    }
    answer_json(response, http_ok, to_json(*found).dump());
}

auto platform_routes::list(const httplib::Request& request,
                           httplib::Response& response) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto items = json::array();
    for (const auto& object : this->objects.list(request.matches[1].str())) {
        items.push_back(to_json(object));
    }
    answer_json(
        response, http_ok,
        json{{"revision", this->objects.revision()}, {"items", items}}.dump());
}

auto platform_routes::put(const httplib::Request& request,
                          httplib::Response& response) -> void
{
    if (request.body.size() > max_value_bytes) {
        answer_json(response, http_too_large, "{}");
        return;
    }
    if (!json::accept(request.body)) {
        answer_json(response, http_bad_request, "{}");
        return;
    }
    auto expected = std::optional<std::uint64_t>();
    if (request.has_header("If-Match")) {
        expected = number_of(request.get_header_value("If-Match"));
    } else if (request.get_header_value("If-None-Match") != "*") {
        answer_json(response, http_precondition_required, "{}");
        return;
    }
    const auto guard = std::lock_guard(this->mutex);
    const auto outcome =
        this->objects.put(request.matches[1].str(), request.matches[2].str(),
                          expected, request.body);
    this->answer_write(request, response, "put", outcome);
}

auto platform_routes::remove(const httplib::Request& request,
                             httplib::Response& response) -> void
{
    const auto expected = number_of(request.get_header_value("If-Match"));
    const auto guard = std::lock_guard(this->mutex);
    const auto outcome = this->objects.remove(
        request.matches[1].str(), request.matches[2].str(), expected);
    this->answer_write(request, response, "remove", outcome);
}

auto platform_routes::answer_write(const httplib::Request& request,
                                   httplib::Response& response,
                                   const std::string& what,
                                   const write_outcome& outcome) -> void
{
    const auto dropped = this->drops_answer();
    this->record.write({{"event", what},
                        {"kind", request.matches[1].str()},
                        {"name", request.matches[2].str()},
                        {"status", outcome.status},
                        {"version", outcome.version},
                        {"caller", request.get_header_value("x-caller")},
                        {"dropped", dropped}});
    this->changed.notify_all();
    if (dropped) {
        standin::close_connection(request);
    }
    answer_json(response, outcome.status,
                json{{"version", outcome.version}}.dump());
}

auto platform_routes::drops_answer() -> bool
{
    return this->current.mode == "drop_answers" &&
           this->random.unit() < this->current.probability;
}

auto platform_routes::watch(const httplib::Request& request,
                            httplib::Response& response) -> void
{
    const auto kind = request.matches[1].str();
    const auto after = number_of(request.get_param_value("after"));
    const auto wanted =
        core::milliseconds(number_of(request.get_param_value("timeout_ms")));
    const auto until = this->clock.now() + std::min(wanted, longest_watch);
    auto lock = std::unique_lock(this->mutex);
    auto events = this->objects.events_after(kind, after);
    this->clock.wait_until(lock, this->changed, until, [&] {
        events = this->objects.events_after(kind, after);
        return !events || !events->empty() || this->current.mode == "down";
    });
    if (this->current.mode == "down") {
        answer_json(response, http_unavailable, "{}");
        return;
    }
    if (!events) {
        answer_json(response, http_gone, "{}");
        return;
    }
    auto items = json::array();
    for (const auto& event : *events) {
        items.push_back(to_json(event));
    }
    const auto revision = std::max(after, this->objects.revision());
    answer_json(response, http_ok,
                json{{"revision", revision}, {"events", items}}.dump());
}

auto platform_routes::instances(const httplib::Request& /*request*/,
                                httplib::Response& response) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    answer_json(response, http_ok,
                this->instance_table.visible(this->clock.now()));
}

auto platform_routes::set_fault(const httplib::Request& request,
                                httplib::Response& response) -> void
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answer_json(response, http_bad_request, "{}");
        return;
    }
    const auto guard = std::lock_guard(this->mutex);
    this->current.mode = body.value("mode", "up");
    this->current.delay = core::milliseconds(body.value("delay_ms", 0));
    this->current.probability = body.value("probability", 1.0);
    this->random = core::random_source(body.value("seed", std::uint64_t(1)));
    this->record.write({{"event", "fault"}, {"mode", this->current.mode}});
    this->changed.notify_all();
    answer_json(response, http_ok, "{}");
}

} // namespace almondtiller::fake_platform
