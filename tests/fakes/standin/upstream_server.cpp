#include "standin/upstream_server.h"

#include "standin/answers.h"
#include "standin/orders.h"
#include "standin/server.h"
#include "standin/upstream_flags.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace almondtiller::standin {

namespace {

using nlohmann::json;

constexpr auto http_ok = 200;
constexpr auto http_bad_request = 400;
constexpr auto http_not_found = 404;
constexpr auto http_internal_error = 500;
constexpr auto http_unavailable = 503;

/// The HTTP routes of one upstream stand-in.
class upstream_routes
{
public:
    explicit upstream_routes(const upstream_flags& flags)
        : options(flags.options),
          record(this->clock, flags.journal_path),
          model(this->clock, flags.options, this->record),
          orders(this->clock, flags.options.checks_fencing,
                 flags.options.load_time, this->record)
    {}

    auto install(httplib::Server& http) -> void
    {
        http.Post("/v1/run", [this](const auto& request, auto& response) {
            this->run(request, response);
        });
        http.Post("/v1/cancel", [this](const auto& request, auto& response) {
            this->cancel(request, response);
        });
        http.Get("/v1/load",
                 [this](const auto&, auto& response) { this->load(response); });
        http.Get("/v1/cache-events",
                 [this](const auto& request, auto& response) {
                     this->cache_events(request, response);
                 });
        http.Post("/v1/orders", [this](const auto& request, auto& response) {
            this->order(request, response);
        });
        this->install_admin(http);
    }

private:
    auto install_admin(httplib::Server& http) -> void
    {
        http.Get("/admin/journal", [this](const auto&, auto& response) {
            response.set_content(this->record.text(), "application/jsonl");
        });
        http.Post("/admin/turn-cold", [this](const auto&, auto& response) {
            this->model.turn_cold();
            answer_json(response, http_ok, "{}");
        });
        http.Post("/admin/fault", [this](const auto& request, auto& response) {
            this->set_fault(request, response);
        });
    }

    auto run(const httplib::Request& http_request, httplib::Response& response)
        -> void
    {
        auto request = std::make_shared<run_request>();
        try {
            *request =
                read_run_request(http_request.body, this->options.tokens);
        } catch (const json::exception&) {
            answer_json(response, http_bad_request, R"({"error":"bad_body"})");
            return;
        }
        const auto admitted = this->model.admit(request->info);
        if (admitted == admission::refused) {
            this->fail(*request, response, http_unavailable, "overloaded");
            return;
        }
        if (this->model.strikes("fail")) {
            this->model.finish(request->info, "failed");
            this->fail(*request, response, http_internal_error, "failed");
            return;
        }
        if (request->stream) {
            this->stream(request, response);
        } else {
            this->answer_whole(*request, http_request, response);
        }
    }

    auto fail(const run_request& request, httplib::Response& response,
              int status, const std::string& error) -> void
    {
        const auto body = json{{"attempt", request.info.attempt},
                               {"error", error},
                               {"started", status == http_internal_error},
                               {"incarnation", this->model.incarnation()},
                               {"state", this->model.state_name()}};
        answer_json(response, status, body.dump());
    }

    [[nodiscard]] auto summary(const run_request& request, bool crossed) -> json
    {
        const auto& attempt = request.info.attempt;
        return {{"attempt", crossed ? attempt + "-other" : attempt},
                {"incarnation", this->model.incarnation()},
                {"state", this->model.state_name()},
                {"output", output_of(request)},
                {"tokens", request.kind == "generate" ? request.tokens : 0}};
    }

    /// The time before the first token, or of a whole answer.
    auto spend_start(const run_request& request) -> wait_end
    {
        auto time = this->model.service_time_ms();
        if (request.kind == "generate") {
            time += this->model.prefill_time_ms(request.prefix_hash);
        }
        return this->model.spend(request.info, time);
    }

    auto answer_whole(const run_request& request,
                      const httplib::Request& http_request,
                      httplib::Response& response) -> void
    {
        auto waited = this->spend_start(request);
        if (waited == wait_end::elapsed && request.kind == "generate") {
            waited = this->model.spend(request.info,
                                       this->options.token_ms * request.tokens);
        }
        if (waited != wait_end::elapsed) {
            this->model.finish(request.info, waited == wait_end::cancelled
                                                 ? "cancel"
                                                 : "failed");
            this->fail(request, response, http_internal_error, "failed");
            return;
        }
        this->model.finish(request.info, "end");
        if (this->model.strikes("cut")) {
            close_connection(http_request);
        }
        auto body = this->summary(request, this->model.strikes("mismatch"));
        body["final"] = true;
        answer_json(response, http_ok, body.dump());
    }

    auto stream(const std::shared_ptr<run_request>& request,
                httplib::Response& response) -> void
    {
        const auto next = std::make_shared<std::uint32_t>(request->resume_from);
        const auto finished = std::make_shared<bool>(false);
        response.set_chunked_content_provider(
            "text/event-stream",
            [this, request, next, finished](std::size_t /*offset*/,
                                            httplib::DataSink& sink) {
                return this->write_next(*request, *next, *finished, sink);
            },
            [this, request, finished](bool /*success*/) {
                if (!*finished) {
                    this->model.finish(request->info, "broken");
                }
            });
    }

    /// Writes the next token or the end of a stream.
    /// \return False to break the connection off.
    auto write_next(const run_request& request, std::uint32_t& next,
                    bool& finished, httplib::DataSink& sink) -> bool
    {
        const auto is_first = next == request.resume_from;
        auto waited = is_first ? this->spend_start(request) : wait_end::elapsed;
        if (waited == wait_end::elapsed && next < request.tokens) {
            waited = this->model.spend(request.info, this->options.token_ms);
        }
        const auto is_cut =
            next > request.tokens / 2 && this->model.strikes("cut");
        if (waited != wait_end::elapsed || is_cut) {
            finished = true;
            this->model.finish(request.info, waited == wait_end::cancelled
                                                 ? "cancel"
                                                 : "failed");
            return false;
        }
        if (next >= request.tokens) {
            finished = true;
            return this->write_end(request, sink);
        }
        return this->write_token(request, next++, sink);
    }

    auto write_token(const run_request& request, std::uint32_t index,
                     httplib::DataSink& sink) -> bool
    {
        const auto event = "data: " +
                           json{{"attempt", request.info.attempt},
                                {"index", index},
                                {"token", token_text(request, index)}}
                               .dump() +
                           "\n\n";
        if (this->model.strikes("repeat_tokens") &&
            !sink.write(event.data(), event.size())) {
            return false;
        }
        return sink.write(event.data(), event.size());
    }

    auto write_end(const run_request& request, httplib::DataSink& sink) -> bool
    {
        this->model.finish(request.info, "end");
        const auto crossed = this->model.strikes("mismatch");
        const auto event =
            "event: end\ndata: " + this->summary(request, crossed).dump() +
            "\n\n";
        const auto written = sink.write(event.data(), event.size());
        sink.done();
        return written;
    }

    auto cancel(const httplib::Request& request, httplib::Response& response)
        -> void
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_object() && body.contains("attempt")) {
            this->model.cancel(body.at("attempt").get<std::string>());
        }
        answer_json(response, http_ok, "{}");
    }

    auto load(httplib::Response& response) -> void
    {
        if (!this->options.reports_load) {
            answer_json(response, http_not_found, "{}");
            return;
        }
        const auto sample = this->model.lagged_load();
        const auto state = this->orders.is_loading() ? "loading" : sample.state;
        const auto body = json{{"incarnation", sample.incarnation},
                               {"state", state},
                               {"in_flight", sample.in_flight},
                               {"queued", sample.queued},
                               {"capacity", this->options.capacity},
                               {"age_ms", this->options.report_lag.count()},
                               {"models", json::parse(this->orders.models())},
                               {"role", this->orders.role()}};
        answer_json(response, http_ok, body.dump());
    }

    auto cache_events(const httplib::Request& request,
                      httplib::Response& response) -> void
    {
        auto next = std::strtoull(request.get_param_value("after").c_str(),
                                  nullptr, 10);
        auto events = json::array();
        for (const auto& event : this->model.visible_cache_events(next)) {
            next = event.sequence;
            events.push_back({{"sequence", event.sequence},
                              {"type", event.stored ? "stored" : "evicted"},
                              {"prefix_hash", event.prefix_hash}});
        }
        answer_json(response, http_ok,
                    json{{"next", next}, {"events", events}}.dump());
    }

    auto order(const httplib::Request& request, httplib::Response& response)
        -> void
    {
        try {
            auto text = std::string();
            const auto status = this->orders.take(request.body, text);
            answer_json(response, status, text);
        } catch (const json::exception&) {
            answer_json(response, http_bad_request, R"({"error":"bad_body"})");
        }
    }

    auto set_fault(const httplib::Request& request, httplib::Response& response)
        -> void
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            answer_json(response, http_bad_request, R"({"error":"bad_body"})");
            return;
        }
        auto fault = upstream_fault();
        fault.mode = body.value("mode", "none");
        fault.probability = body.value("probability", 1.0);
        fault.factor = body.value("factor", 1.0);
        this->model.set_fault(fault);
        answer_json(response, http_ok, "{}");
    }

    core::runtime_clock clock;
    upstream_options options;
    journal record;
    upstream_model model;
    order_desk orders;
};

} // namespace

auto run_upstream(int argc, char** argv, const std::string& default_kind) -> int
{
    const auto flags = parse_upstream_flags(argc, argv, default_kind);
    if (!flags) {
        return 2;
    }
    auto shell = server();
    auto routes = upstream_routes(*flags);
    routes.install(shell.http());
    return shell.run(flags->listen);
}

} // namespace almondtiller::standin
