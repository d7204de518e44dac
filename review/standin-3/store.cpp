#include "store.h"

#include <cstdlib>

namespace review {

namespace {

constexpr auto prefix = std::string_view("/almondtiller/objects/");

auto query_value(const std::string& target, const std::string& key)
    -> std::string
{
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    const auto query = "&" + target.substr(mark + 1);
    const auto at = query.find("&" + key + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + key.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
}

auto encode_json(int status, const json& body) -> std::string
{
    return encode_answer(status, {{"Content-Type", "application/json"}},
                         body.dump());
}

} // namespace

store::store() : listener([this](connection& client) { this->serve(client); })
{}

auto store::port() const -> std::uint16_t
{
    return this->listener.port();
}

auto store::stop() -> void
{
    {
        const auto lock = std::lock_guard(this->guard);
        this->is_stopped = true;
        this->changed.notify_all();
    }
    this->listener.stop();
}

auto store::put_locked(const std::string& kind, const std::string& name,
                       json spec) -> json
{
    auto& object = this->objects[kind][name];
    if (object.is_object() && object["spec"] == spec) {
        return object;
    }
    ++this->revision;
    object["metadata"]["name"] = name;
    object["metadata"]["revision"] = this->revision;
    if (!object["metadata"].contains("created")) {
        object["metadata"]["created"] = this->revision;
    }
    object["spec"] = std::move(spec);
    this->history.push_back(
        {this->revision, kind, {{"removed", false}, {"object", object}}});
    this->changed.notify_all();
    return object;
}

auto store::remove_locked(const std::string& kind, const std::string& name)
    -> void
{
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) {
        return;
    }
    ++this->revision;
    auto object = found->second;
    object["metadata"]["revision"] = this->revision;
    this->objects[kind].erase(found);
    this->history.push_back(
        {this->revision, kind, {{"removed", true}, {"object", object}}});
    this->changed.notify_all();
}

auto store::put(const std::string& kind, const std::string& name, json spec)
    -> void
{
    const auto lock = std::lock_guard(this->guard);
    this->put_locked(kind, name, std::move(spec));
}

auto store::remove(const std::string& kind, const std::string& name) -> void
{
    const auto lock = std::lock_guard(this->guard);
    this->remove_locked(kind, name);
}

auto store::serve(connection& client) -> void
{
    while (const auto request = client.read_request()) {
        if (!client.send(this->answer(*request))) {
            return;
        }
    }
}

auto store::answer(const message& request) -> std::string
{
    const auto target = request.target();
    if (!target.starts_with(prefix)) {
        return encode_json(404, json::object());
    }
    const auto path =
        target.substr(prefix.size(), target.find('?') == std::string::npos
                                         ? std::string::npos
                                         : target.find('?') - prefix.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.method() != "GET") {
        return this->write(request, kind, name);
    }
    const auto since = query_value(target, "watch");
    if (!since.empty()) {
        return this->watch(
            kind, std::atoll(since.c_str()),
            ms(std::atoll(query_value(target, "waitMs").c_str())));
    }
    return this->list(kind);
}

auto store::list(const std::string& kind) -> std::string
{
    const auto lock = std::lock_guard(this->guard);
    auto items = json::array();
    for (const auto& [name, object] : this->objects[kind]) {
        items.push_back(object);
    }
    return encode_json(
        200,
        {{"items", items}, {"morePages", false}, {"asOf", this->revision}});
}

auto store::watch(const std::string& kind, std::int64_t since, ms wait)
    -> std::string
{
    auto lock = std::unique_lock(this->guard);
    const auto events_since = [&]() {
        auto events = json::array();
        for (const auto& entry : this->history) {
            if (entry.kind == kind && entry.revision > since) {
                events.push_back(entry.event);
            }
        }
        return events;
    };
    this->changed.wait_for(lock, wait, [&]() {
        return this->is_stopped || !events_since().empty();
    });
    return encode_json(200,
                       {{"events", events_since()}, {"asOf", this->revision}});
}

auto store::write(const message& request, const std::string& kind,
                  const std::string& name) -> std::string
{
    const auto body =
        request.body.empty() ? json::object() : json::parse(request.body);
    const auto metadata = body.value("metadata", json::object());
    const auto in_query = query_value(request.target(), "revision");
    const auto condition = in_query.empty()
                               ? metadata.value("revision", std::int64_t(0))
                               : std::atoll(in_query.c_str());
    const auto lock = std::lock_guard(this->guard);
    const auto of_object =
        name.empty() ? metadata.value("name", std::string()) : name;
    const auto found = this->objects[kind].find(of_object);
    const auto exists = found != this->objects[kind].end();
    if (request.method() == "POST") {
        return exists ? encode_json(409, found->second)
                      : encode_json(201, this->put_locked(kind, of_object,
                                                          body.at("spec")));
    }
    if (!exists) {
        return encode_json(404, json::object());
    }
    if (condition != 0 && found->second["metadata"]["revision"] != condition) {
        return encode_json(409, found->second);
    }
    if (request.method() == "DELETE") {
        this->remove_locked(kind, of_object);
        return encode_json(200, json::object());
    }
    return encode_json(200, this->put_locked(kind, of_object, body.at("spec")));
}

} // namespace review
