#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace review {

namespace {

using json = nlohmann::json;

constexpr auto prefix = std::string_view("/almondtiller/objects/");

/// \return The value of a parameter of the query; empty if it is absent.
auto parameter(const std::string& target, const std::string& key) -> std::string
{
    for (const auto* const start : {"?", "&"}) {
        const auto at = target.find(start + key + "=");
        if (at != std::string::npos) {
            const auto from = at + key.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
    }
    return {};
}

auto json_answer(int status, const std::string& body) -> std::string
{
    return answer_text(
        status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
        body);
}

} // namespace

store::store() : listener([this](connection& caller) { this->serve(caller); })
{}

auto store::port() const -> std::uint16_t
{
    return this->listener.port();
}

auto store::text_of(const std::string& name, const object& one) -> std::string
{
    return R"({"metadata":{"name":)" + json(name).dump() + R"(,"revision":)" +
           std::to_string(one.revision) + R"(,"created":)" +
           std::to_string(one.created) +
           R"(,"finalizers":[],"deletePending":false},"spec":)" + one.content +
           R"(,"status":{}})";
}

auto store::write(const std::string& kind, const std::string& name,
                  const std::string& content) -> std::string
{
    auto& one = this->objects[kind][name];
    one.content = content;
    one.revision = ++this->revision;
    one.created = one.created == 0 ? one.revision : one.created;
    auto text = text_of(name, one);
    this->history.push_back(
        {one.revision, kind, R"({"removed":false,"object":)" + text + "}"});
    this->changed.notify_all();
    return text;
}

auto store::erase(const std::string& kind, const std::string& name) -> void
{
    auto& all = this->objects[kind];
    const auto found = all.find(name);
    if (found == all.end()) {
        return;
    }
    found->second.revision = ++this->revision;
    this->history.push_back(
        {this->revision, kind,
         R"({"removed":true,"object":)" + text_of(name, found->second) + "}"});
    all.erase(found);
    this->changed.notify_all();
}

auto store::put(const std::string& kind, const std::string& name,
                const std::string& content) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->write(kind, name, content);
}

auto store::remove(const std::string& kind, const std::string& name) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->erase(kind, name);
}

auto store::count(const std::string& kind) -> std::size_t
{
    const auto lock = std::lock_guard(this->mutex);
    return this->objects[kind].size();
}

auto store::serve(connection& caller) -> void
{
    while (const auto request = caller.read_message()) {
        if (!caller.write(this->answer(*request))) {
            return;
        }
    }
}

auto store::answer(const message& request) -> std::string
{
    const auto target = request.target();
    if (!target.starts_with(prefix)) {
        return json_answer(404, "{}");
    }
    const auto path =
        target.substr(prefix.size(), target.find('?') - prefix.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto name =
        slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (request.method() != "GET") {
        return this->change_object(
            request, kind, name,
            std::atoll(parameter(target, "revision").c_str()));
    }
    const auto since = parameter(target, "watch");
    if (!since.empty()) {
        return this->watch(
            kind, std::atoll(since.c_str()),
            milliseconds(std::atoi(parameter(target, "waitMs").c_str())));
    }
    if (name.empty()) {
        return this->list(kind);
    }
    const auto lock = std::lock_guard(this->mutex);
    const auto found = this->objects[kind].find(name);
    return found == this->objects[kind].end()
               ? json_answer(404, "{}")
               : json_answer(200, text_of(name, found->second));
}

auto store::list(const std::string& kind) -> std::string
{
    const auto lock = std::lock_guard(this->mutex);
    auto items = std::string();
    for (const auto& [name, one] : this->objects[kind]) {
        items += (items.empty() ? "" : ",") + text_of(name, one);
    }
    return json_answer(200, R"({"items":[)" + items +
                                R"(],"morePages":false,"asOf":)" +
                                std::to_string(this->revision) + "}");
}

auto store::watch(const std::string& kind, std::int64_t since,
                  milliseconds longest) -> std::string
{
    auto lock = std::unique_lock(this->mutex);
    const auto collect = [&]() {
        auto events = std::string();
        for (const auto& one : this->history) {
            if (one.kind == kind && one.revision > since) {
                events += (events.empty() ? "" : ",") + one.event;
            }
        }
        return events;
    };
    auto events = std::string();
    this->changed.wait_for(lock, longest, [&]() {
        events = collect();
        return !events.empty();
    });
    return json_answer(200, R"({"events":[)" + events + R"(],"asOf":)" +
                                std::to_string(this->revision) + "}");
}

auto store::change_object(const message& request, const std::string& kind,
                          const std::string& name, std::int64_t condition)
    -> std::string
{
    const auto lock = std::lock_guard(this->mutex);
    auto& all = this->objects[kind];
    const auto body = json::parse(request.body, nullptr, false);
    const auto metadata =
        body.is_object() ? body.value("metadata", json()) : json();
    const auto object_name = name.empty() && metadata.is_object()
                                 ? metadata.value("name", "")
                                 : name;
    const auto wanted = condition != 0 ? condition
                        : metadata.is_object()
                            ? metadata.value("revision", std::int64_t(0))
                            : std::int64_t(0);
    const auto found = all.find(object_name);
    if (request.method() == "POST") {
        if (found != all.end()) {
            return json_answer(409, text_of(object_name, found->second));
        }
        return json_answer(
            200, this->write(kind, object_name, body.at("spec").dump()));
    }
    if (found == all.end()) {
        return json_answer(404, "{}");
    }
    if (wanted != 0 && wanted != found->second.revision) {
        return json_answer(409, text_of(object_name, found->second));
    }
    if (request.method() == "DELETE") {
        this->erase(kind, object_name);
        return json_answer(200, "{}");
    }
    return json_answer(200,
                       this->write(kind, object_name, body.at("spec").dump()));
}

} // namespace review
