#include "gateway_world/world_caller.h"
#include "services/gateway/event_log.h"
#include "services/gateway/gateway.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace almondtiller::gateway {
namespace {

using gateway_world::answer_framing;
using gateway_world::call_record;
using gateway_world::store_mode;
using gateway_world::upstream_mode;

constexpr auto quarantined_metric =
    "almondtiller_gateway_quarantined_prompt_parts";
constexpr auto node_kind = "almondtiller-nodes";

/// Several nodes in one process, on the world's event loop.
class whole_path_test : public testing::Test
{
protected:
    struct running_node
    {
        serving::node_settings settings;
        std::unique_ptr<event_log> log;
        std::unique_ptr<core::metrics_registry> metrics;
        std::unique_ptr<node> process;
        bool has_stopped = false;
    };

    whole_path_test() : sink(open("/dev/null", O_WRONLY | O_CLOEXEC))
    {
        for (const auto* zone : {"a", "b", "a"}) {
            this->add_node(zone);
        }
        for (const auto& running : this->nodes) {
            this->wait_ready(*running);
        }
        // Nodes register and discover each other once they are ready.
        EXPECT_TRUE(this->wait_for_peers());
    }
    ~whole_path_test() override
    {
        this->nodes.clear();
        close(this->sink);
    }

    auto add_node(const std::string& zone) -> running_node&
    {
        auto made = std::make_unique<running_node>();
        made->settings = gateway_world::make_settings(
            "n" + std::to_string(this->nodes.size()), zone,
            this->world.store.address());
        this->nodes.push_back(std::move(made));
        this->start_node(*this->nodes.back());
        return *this->nodes.back();
    }

    /// Starts the process of a node.
    auto start_node(running_node& running) -> void
    {
        running.log = std::make_unique<event_log>(this->world.loop,
                                                  this->world.clock, this->sink,
                                                  running.settings.node.str());
        running.metrics = std::make_unique<core::metrics_registry>();
        running.process = std::make_unique<node>(
            this->world.loop, running.settings, *running.log, *running.metrics,
            [&running]() { running.has_stopped = true; });
        const auto error = running.process->start();
        EXPECT_FALSE(error) << error.message();
    }

    /// Stops a node and starts it again with the same name and addresses.
    auto restart_node(running_node& running) -> void
    {
        running.process->leave();
        EXPECT_TRUE(this->world.run_until(
            [&running]() { return running.has_stopped; }));
        running.process.reset();
        running.has_stopped = false;
        this->start_node(running);
        this->wait_ready(running);
    }

    /// Waits until each node sees all others as alive.
    auto wait_for_peers() -> bool
    {
        const auto links = this->nodes.size() * (this->nodes.size() - 1);
        return this->world.run_until([this, links]() {
            return this->metric("almondtiller_gateway_peers_alive") ==
                   double(links);
        });
    }

    /// \return The incarnation under which a node is registered in the store;
    ///         empty if it is not registered.
    auto registered_incarnation(const std::string& node) -> std::string
    {
        const auto entry = this->world.store.spec(node_kind, node);
        return entry.is_null() ? std::string()
                               : entry.at("incarnation").get<std::string>();
    }

    /// \return The HTTP status of a node's readiness check; 0 without an
    /// answer.
    auto readiness(const running_node& running) -> int
    {
        auto status = 0;
        auto is_done = false;
        auto hooks = http1::pool_hooks();
        hooks.on_head = [&status](const auto& head) {
            status = head.status;
        };
        hooks.on_done = [&is_done](auto, bool) {
            is_done = true;
        };
        this->pool.call({core::to_text(running.settings.readiness),
                         running.settings.readiness},
                        "GET /almondtiller/readyz HTTP/1.1\r\nHost: n\r\n\r\n",
                        {}, std::move(hooks));
        this->world.run_until([&is_done]() { return is_done; });
        return status;
    }

    auto wait_ready(const running_node& running) -> void
    {
        ASSERT_TRUE(this->world.run_until(
            [&]() { return this->readiness(running) == 200; }));
    }

    /// \return The body of the answer to a GET request at an address of a node.
    auto read_page(const core::endpoint& address, const std::string& target)
        -> std::string
    {
        auto body = std::string();
        auto is_done = false;
        auto hooks = http1::pool_hooks();
        hooks.on_body = [&body](auto bytes) {
            body += bytes;
        };
        hooks.on_done = [&is_done](auto, bool) {
            is_done = true;
        };
        this->pool.call({core::to_text(address), address},
                        "GET " + target + " HTTP/1.1\r\nHost: n\r\n\r\n", {},
                        std::move(hooks));
        this->world.run_until([&is_done]() { return is_done; });
        return body;
    }

    auto directory_answer(const running_node& running) -> std::string
    {
        return this->read_page(running.settings.directory,
                               "/almondtiller/resolve?name=api.example&zone=a");
    }

    /// \return The sum of a metric series over all nodes.
    auto metric(const std::string& series) -> double
    {
        auto sum = 0.0;
        for (const auto& running : this->nodes) {
            const auto page =
                "\n" + this->read_page(running->settings.metrics, "/metrics");
            const auto at = page.find("\n" + series + " ");
            if (at != std::string::npos) {
                sum += std::stod(page.substr(at + series.size() + 2));
            }
        }
        return sum;
    }

    auto send_request(const std::string& path, std::size_t at = 0,
                      const std::string& key = "key") -> const call_record&
    {
        const auto& record =
            this->caller.call(this->nodes[at]->settings.front, path, key);
        EXPECT_TRUE(this->caller.wait(record)) << path;
        return record;
    }

    /// Raises the store's revision by heartbeats of an upstream.
    auto write_entries(int count) -> void
    {
        for (auto number = 0; number < count; ++number) {
            this->world.register_upstream(*this->world.upstreams["desk-a"],
                                          "ready");
        }
    }

    /// \return Whether each node serves requests with an API key within the
    ///         time in which a configuration must be in force.
    auto serves_key_everywhere(const std::string& key) -> bool
    {
        constexpr auto bound = core::milliseconds(2000);
        const auto begin = this->world.loop.now();
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            this->world.run_until([&]() {
                return this->send_request("read", at, key).status == 200;
            });
        }
        return this->world.loop.now() - begin < bound;
    }

    /// \return The number of requests that reached an upstream since \a begin.
    auto arrivals_since(core::time_point begin, const std::string& upstream)
        -> std::size_t
    {
        const auto& all = this->world.journal.arrivals;
        return std::size_t(
            std::count_if(all.begin(), all.end(), [&](const auto& record) {
                return record.upstream == upstream && record.at >= begin;
            }));
    }

    /// \return The largest number of requests that reached an upstream within
    ///         \a length, from \a begin on.
    auto most_arrivals(core::time_point begin, const std::string& upstream,
                       core::duration length) -> std::size_t
    {
        auto most = std::size_t(0);
        auto window = std::deque<core::time_point>();
        for (const auto& record : this->world.journal.arrivals) {
            if (record.upstream != upstream || record.at < begin) {
                continue;
            }
            window.push_back(record.at);
            while (record.at - window.front() >= length) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    /// Waits until every node can use \a count upstreams of a service.
    auto wait_for_upstreams(const std::string& service, std::size_t count)
        -> void
    {
        const auto series = "almondtiller_gateway_usable_upstreams{service=\"" +
                            service + "\"}";
        const auto wanted = double(count * this->nodes.size());
        ASSERT_TRUE(this->world.run_until([this, &series, wanted]() {
            return this->metric(series) == wanted;
        }));
    }

    auto set_model_mode(upstream_mode mode) -> void
    {
        for (const auto& [id, upstream] : this->world.upstreams) {
            if (upstream->service() == "model") {
                upstream->set_mode(mode);
            }
        }
    }

    auto set_fatal_part(const std::string& part) -> void
    {
        for (const auto& [id, upstream] : this->world.upstreams) {
            upstream->set_fatal_part(part);
        }
    }

    auto set_fatal_body(const std::string& body) -> void
    {
        for (const auto& [id, upstream] : this->world.upstreams) {
            upstream->set_fatal_body(body);
        }
    }

    /// Sends a resumable request.
    /// \param mode The mode of the upstream that receives it first; all others
    ///        work.
    auto call_with_first_upstream(upstream_mode mode,
                                  const std::string& path = "staged_resumable")
        -> const call_record&
    {
        this->set_model_mode(mode);
        const auto& record =
            this->caller.call(this->nodes[0]->settings.front, path);
        EXPECT_TRUE(this->world.run_until(
            [this]() { return !this->world.journal.runs.empty(); }));
        const auto first = this->world.journal.runs.front().upstream;
        this->set_model_mode(upstream_mode::works);
        this->world.upstreams.at(first)->set_mode(mode);
        EXPECT_TRUE(this->caller.wait(record));
        return record;
    }

    /// Sends a request whose upstream pauses its stream.
    auto
    begin_silent_stream(const std::string& path,
                        core::milliseconds silence = gateway_world::silence)
        -> const call_record&
    {
        this->set_model_mode(upstream_mode::pauses_streams);
        for (const auto& [id, upstream] : this->world.upstreams) {
            upstream->set_silence(silence);
        }
        const auto& record =
            this->caller.call(this->nodes[0]->settings.front, path);
        EXPECT_TRUE(this->world.run_until(
            [this]() { return !this->world.journal.runs.empty(); }));
        return record;
    }

    /// \return The model engines that did not run the first request.
    auto other_models() -> std::vector<gateway_world::fake_upstream*>
    {
        auto others = std::vector<gateway_world::fake_upstream*>();
        for (const auto& [id, upstream] : this->world.upstreams) {
            if (upstream->service() == "model" &&
                id != this->world.journal.runs.front().upstream) {
                others.push_back(upstream.get());
            }
        }
        return others;
    }

    auto expect_no_faults() -> void
    {
        EXPECT_EQ(this->caller.violations(), std::vector<std::string>());
    }

    gateway_world::world world;
    http1::client_pool pool{world.loop};
    gateway_world::world_caller caller{world};
    int sink;
    std::vector<std::unique_ptr<running_node>> nodes;
};

TEST_F(whole_path_test, serves_every_kind_of_request_at_every_node)
{
    for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
        for (const auto* path :
             {"staged", "stream", "resumable", "read", "book"}) {
            EXPECT_EQ(this->send_request(path, at).status, 200) << path;
        }
    }
    this->expect_no_faults();
    EXPECT_EQ(this->caller.succeeded(), 15U);
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->world.journal.results.empty();
    })) << "all results are freed";
}

TEST_F(whole_path_test, batches_stage_calls_across_all_nodes)
{
    auto open = std::vector<const call_record*>();
    for (auto number = std::size_t(0); number < 24; ++number) {
        open.push_back(&this->caller.call(
            this->nodes[number % 3]->settings.front, "staged"));
    }
    for (const auto* record : open) {
        EXPECT_TRUE(this->caller.wait(*record));
        EXPECT_EQ(record->status, 200);
    }
    // The requests have 120 pieces; one call for each request and stage would
    // be 48 calls.
    EXPECT_LT(this->world.journal.stage_calls, 36U);
    this->expect_no_faults();
}

TEST_F(whole_path_test, exposes_metrics_of_requests_and_node_state)
{
    EXPECT_EQ(this->send_request("staged").status, 200);
    EXPECT_EQ(this->send_request("read", 1).status, 200);
    EXPECT_EQ(this->send_request("unknown", 2).status, 404);
    const auto name = std::string("almondtiller_gateway_");
    EXPECT_EQ(this->metric(name + "ready"), 3);
    EXPECT_EQ(this->metric(name + "peers_alive"), 6);
    EXPECT_EQ(this->metric(name + "configuration_version"), 3);
    EXPECT_EQ(this->metric(name + "requests_in_flight"), 0);
    EXPECT_EQ(this->metric(name + "usable_upstreams{service=\"model\"}"), 12);
    EXPECT_EQ(this->metric(name + "store_connected{kind=\"upstreams\"}"), 3);
    EXPECT_GE(this->metric(name + "store_calls_total{kind=\"upstreams\"}"), 3);
    EXPECT_EQ(this->metric(name + "outcomes_total{outcome=\"answered\","
                                  "reason=\"success\"}"),
              2);
    EXPECT_EQ(this->metric(name + "outcomes_total{outcome=\"rejected\","
                                  "reason=\"no_route\"}"),
              1);
    EXPECT_EQ(this->metric(name + "latency_seconds_count{outcome=\"answered\","
                                  "kind=\"streaming\"}"),
              1);
    EXPECT_EQ(this->metric(name + "stage_seconds_count{service=\"feed\","
                                  "outcome=\"done\"}"),
              1);
    EXPECT_EQ(this->metric(name + "stage_pieces_waiting{service=\"feed\"}"), 0);
}

// Guards against work that reaches its owner without the workspace of its key,
// so that all workspaces would share one part of the capacity.
TEST_F(whole_path_test, owners_know_the_workspace_of_requests_and_stages)
{
    const auto series = [](const std::string& outcome) {
        return "almondtiller_gateway_workspace_work_total{workspace=\"w\","
               "outcome=\"" +
               outcome + "\"}";
    };
    EXPECT_EQ(this->send_request("staged").status, 200);
    EXPECT_EQ(this->metric(series("placed")), 0) << "it is off by default";
    for (const auto& running : this->nodes) {
        running->settings.has_fair_sharing = true;
        this->restart_node(*running);
    }
    EXPECT_TRUE(this->wait_for_peers());
    for (auto at = std::size_t(0); at < 3; ++at) {
        EXPECT_EQ(this->send_request("staged", at).status, 200);
    }
    EXPECT_EQ(this->metric(series("placed")), 3);
    EXPECT_GE(this->metric(series("done")), 3);
}

TEST_F(whole_path_test, rejects_unknown_routes_and_api_keys)
{
    EXPECT_EQ(this->send_request("unknown").status, 404);
    EXPECT_EQ(this->send_request("read", 0, "other").status, 401);
    EXPECT_TRUE(this->world.journal.runs.empty());
}

TEST_F(whole_path_test, a_new_configuration_takes_effect_at_every_node)
{
    EXPECT_EQ(this->send_request("read", 0, "second").status, 401);
    this->world.put_config({"second"});
    EXPECT_TRUE(this->world.run_until([this]() {
        auto in_force = true;
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            in_force = in_force &&
                       this->send_request("read", at, "second").status == 200;
        }
        return in_force;
    }));
    EXPECT_EQ(this->send_request("read", 1, "key").status, 401);
}

TEST_F(whole_path_test, retries_only_idempotent_requests_after_aborted_answers)
{
    this->world.upstreams["desk-a"]->set_mode(upstream_mode::aborts_answers);
    for (auto number = 0; number < 6; ++number) {
        EXPECT_EQ(this->send_request("read").status, 200);
    }
    auto lost = 0;
    for (auto number = 0; number < 6; ++number) {
        lost += this->send_request("book").status == 502 ? 1 : 0;
    }
    EXPECT_GT(lost, 0);
    this->expect_no_faults();
}

TEST_F(whole_path_test, a_resumable_stream_continues_at_another_upstream)
{
    this->world.upstreams["model1-a"]->set_mode(upstream_mode::aborts_answers);
    this->world.upstreams["model1-b"]->set_mode(upstream_mode::aborts_answers);
    for (auto number = 0; number < 4; ++number) {
        const auto& record = this->send_request("resumable");
        EXPECT_EQ(record.status, 200);
        EXPECT_TRUE(record.is_complete);
    }
    for (auto number = 0; number < 4; ++number) {
        this->send_request("stream");
    }
    this->expect_no_faults();
}

// The results of a request's stages are freed at the first event, but another
// upstream needs them to resume the stream.
TEST_F(whole_path_test, a_staged_stream_continues_at_another_upstream)
{
    const auto& record =
        this->call_with_first_upstream(upstream_mode::aborts_answers);
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(record.is_complete);
    EXPECT_EQ(this->world.journal.runs.size(), 2U);
    this->expect_no_faults();
}

// The same for a sound upstream that is silent for a moment.
TEST_F(whole_path_test, a_silent_staged_stream_reaches_its_end)
{
    const auto& record =
        this->call_with_first_upstream(upstream_mode::pauses_streams);
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(record.is_complete);
    this->expect_no_faults();
}

// A sound upstream may be silent for a moment. While no other upstream can
// continue its stream, the node must not break the stream off.
TEST_F(whole_path_test, a_silent_stream_is_kept_while_no_upstream_can_resume_it)
{
    this->set_model_mode(upstream_mode::pauses_streams);
    const auto& record =
        this->caller.call(this->nodes[0]->settings.front, "resumable");
    ASSERT_TRUE(this->world.run_until(
        [this]() { return this->world.journal.runs.size() == 1; }));
    for (const auto& [id, upstream] : this->world.upstreams) {
        if (upstream->service() == "model" &&
            id != this->world.journal.runs.front().upstream) {
            this->world.register_upstream(*upstream, "draining");
        }
    }
    this->wait_for_upstreams("model", 1);
    ASSERT_TRUE(this->caller.wait(record));
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(record.is_complete);
    EXPECT_EQ(record.body, gateway_world::expected_body(record.id, true));
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
}

// The answer has begun, so that the caller can't get the error of the upstream
// that was to resume the stream. It must not wait for the rest in vain.
TEST_F(whole_path_test, a_stream_that_no_upstream_resumes_is_broken_off)
{
    this->set_model_mode(upstream_mode::aborts_answers);
    const auto& record =
        this->caller.call(this->nodes[0]->settings.front, "resumable");
    ASSERT_TRUE(this->world.run_until(
        [this]() { return !this->world.journal.runs.empty(); }));
    const auto first = this->world.journal.runs.front().upstream;
    this->set_model_mode(upstream_mode::fails_resumed_streams);
    this->world.upstreams.at(first)->set_mode(upstream_mode::aborts_answers);
    EXPECT_TRUE(this->caller.wait(record)) << "the answer has no end";
    EXPECT_EQ(record.status, 200);
    EXPECT_FALSE(record.is_complete);
    EXPECT_EQ(this->metric("almondtiller_gateway_requests_in_flight"), 0);
    this->expect_no_faults();
}

// A granted upstream may turn out not to accept the stream.
TEST_F(whole_path_test,
       a_silent_stream_is_kept_if_no_other_upstream_is_reachable)
{
    const auto& record = this->begin_silent_stream("resumable");
    for (auto* other : this->other_models()) {
        other->crash();
    }
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_TRUE(record.is_complete) << record.body;
    this->expect_no_faults();
}

TEST_F(whole_path_test, a_silent_stream_is_kept_if_all_other_upstreams_are_full)
{
    const auto& record = this->begin_silent_stream("resumable");
    for (auto* other : this->other_models()) {
        other->set_mode(upstream_mode::rejects_all);
    }
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_TRUE(record.is_complete) << record.body;
    this->expect_no_faults();
}

// The silent upstream goes on before the other one has begun to answer.
TEST_F(whole_path_test, a_silent_stream_continues_in_place_of_its_replacement)
{
    const auto& record = this->begin_silent_stream("resumable");
    for (auto* other : this->other_models()) {
        other->set_mode(upstream_mode::hangs);
    }
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_TRUE(record.is_complete) << record.body;
    EXPECT_EQ(this->world.journal.runs.size(), 2U);
    this->expect_no_faults();
}

TEST_F(whole_path_test, a_silent_stream_is_kept_if_all_other_upstreams_fail)
{
    const auto& record = this->begin_silent_stream("resumable");
    for (auto* other : this->other_models()) {
        other->set_mode(upstream_mode::fails_resumed_streams);
    }
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_TRUE(record.is_complete) << record.body;
    this->expect_no_faults();
}

// An upstream that stands still accepts no connection, so that it shows only
// after a timeout that it can't resume the stream.
TEST_F(whole_path_test,
       a_silent_stream_is_kept_while_other_upstreams_accept_no_connection)
{
    const auto& record =
        this->begin_silent_stream("resumable", core::milliseconds(2200));
    for (auto* other : this->other_models()) {
        other->block();
    }
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_TRUE(record.is_complete) << record.body;
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
    this->expect_no_faults();
}

// The silent attempt is cancelled once another upstream has taken the request.
// If all others reject it afterwards, the stream can't return to the first.
TEST_F(whole_path_test, a_stream_is_resumed_after_late_rejections)
{
    const auto& record =
        this->begin_silent_stream("resumable", core::milliseconds(8000));
    this->world.run_for(core::milliseconds(100));
    this->set_model_mode(upstream_mode::rejects_late);
    ASSERT_TRUE(this->world.run_until(
        [this]() { return this->world.journal.arrivals.size() == 4; }));
    // The last of the three others still rejects the request.
    this->set_model_mode(upstream_mode::works);
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_TRUE(record.is_complete) << record.body;
    this->expect_no_faults();
}

// Only its timer refers to a request that waits to search again.
TEST_F(whole_path_test, a_stream_ends_if_another_search_fails_at_once)
{
    const auto& record =
        this->begin_silent_stream("resumable", core::milliseconds(8000));
    this->world.run_for(core::milliseconds(100));
    this->set_model_mode(upstream_mode::rejects_late);
    ASSERT_TRUE(this->world.run_until(
        [this]() { return this->world.journal.arrivals.size() == 4; }));
    this->world.run_for(gateway_world::rejection_delay +
                        core::milliseconds(30));
    EXPECT_FALSE(record.is_done);
    // Another request learns that no upstream takes any for a while.
    for (const auto& [id, upstream] : this->world.upstreams) {
        upstream->set_mode(upstream_mode::rejects_all);
        upstream->set_hold_off("5");
    }
    EXPECT_EQ(this->send_request("stream").status, 503);
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_FALSE(record.is_complete);
    EXPECT_EQ(this->metric("almondtiller_gateway_requests_in_flight"), 0);
}

// A full upstream must not delay the search until the next timeout.
TEST_F(whole_path_test, another_upstream_is_sought_at_once_after_a_rejection)
{
    this->world.add_upstream("desk-c", "desk", "a");
    this->wait_for_upstreams("desk", 3);
    for (const auto* id : {"desk-a", "desk-b", "desk-c"}) {
        this->world.upstreams[id]->set_mode(upstream_mode::answers_late);
    }
    const auto& record =
        this->caller.call(this->nodes[0]->settings.front, "read");
    const auto set_others = [this](upstream_mode mode) {
        for (const auto* id : {"desk-a", "desk-b", "desk-c"}) {
            if (id != this->world.journal.arrivals.front().upstream) {
                this->world.upstreams[id]->set_mode(mode);
            }
        }
    };
    const auto& arrivals = this->world.journal.arrivals;
    ASSERT_TRUE(this->world.run_until([&]() { return arrivals.size() == 1; }));
    set_others(upstream_mode::rejects_all);
    ASSERT_TRUE(this->world.run_until([&]() { return arrivals.size() == 2; }));
    set_others(upstream_mode::works);
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_EQ(record.status, 200);
    EXPECT_LT(record.ended - record.sent, gateway_world::silence);
}

// The owner must not count the attempt for ever if it fails while the stages of
// the stream run again.
TEST_F(whole_path_test, a_silent_attempt_that_fails_leaves_no_record)
{
    const auto& record = this->begin_silent_stream("staged_resumable");
    const auto first = this->world.journal.runs.front().upstream;
    for (const auto* id : {"feed-a", "feed-b"}) {
        this->world.upstreams.at(id)->set_mode(upstream_mode::hangs);
    }
    this->world.run_for(core::milliseconds(1550));
    EXPECT_FALSE(record.is_done);
    this->world.upstreams.at(first)->crash();
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_requests_placed{service="
                            "\"model\"}") == 0;
    }));
}

TEST_F(whole_path_test, a_late_answer_is_kept_while_no_upstream_can_repeat_it)
{
    this->world.upstreams["desk-a"]->set_mode(upstream_mode::answers_late);
    this->world.register_upstream(*this->world.upstreams["desk-b"], "draining");
    this->wait_for_upstreams("desk", 1);
    const auto& record =
        this->caller.call(this->nodes[0]->settings.front, "read");
    const auto placed =
        std::string("almondtiller_gateway_requests_placed{service=\"desk\"}");
    const auto searched = this->world.clock.now() + core::milliseconds(1000);
    ASSERT_TRUE(this->world.run_until(
        [&]() { return this->world.clock.now() > searched; }));
    // The owner has a record of the request again after it found no other
    // upstream.
    EXPECT_EQ(this->metric(placed), 1);
    ASSERT_TRUE(this->caller.wait(record));
    EXPECT_EQ(record.status, 200);
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
    EXPECT_TRUE(this->world.run_until(
        [this, &placed]() { return this->metric(placed) == 0; }));
}

TEST_F(whole_path_test, retries_rejected_requests_at_another_upstream)
{
    this->world.upstreams["desk-a"]->set_mode(upstream_mode::rejects_all);
    this->world.upstreams["feed-b"]->set_mode(upstream_mode::rejects_all);
    for (auto number = 0; number < 4; ++number) {
        EXPECT_EQ(this->send_request("book").status, 200);
        EXPECT_EQ(this->send_request("staged").status, 200);
    }
    this->expect_no_faults();
}

TEST_F(whole_path_test, sends_nothing_to_an_upstream_that_reports_leaving)
{
    // The next answer of an upstream is the first that reports it as leaving.
    EXPECT_EQ(this->send_request("stream").status, 200);
    const auto model = this->world.journal.runs.back().upstream;
    this->world.upstreams[model]->set_leaving(true);
    this->world.upstreams["desk-a"]->set_leaving(true);
    const auto send_to_all_nodes = [this]() {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            EXPECT_EQ(this->send_request("book", at).status, 200);
            EXPECT_EQ(this->send_request("stream", at).status, 200);
            EXPECT_EQ(this->send_request("staged", at).status, 200);
        }
    };
    const auto begin = this->world.clock.now();
    ASSERT_TRUE(this->world.run_until([&]() {
        send_to_all_nodes();
        return this->arrivals_since(begin, "desk-a") > 0 &&
               this->arrivals_since(begin, model) > 0;
    }));
    // The owner does not notify other nodes, but places no further work there.
    this->world.run_for(core::milliseconds(100));
    const auto known = this->world.clock.now();
    for (auto round = 0; round < 8; ++round) {
        send_to_all_nodes();
    }
    EXPECT_EQ(this->arrivals_since(known, "desk-a"), 0U);
    EXPECT_EQ(this->arrivals_since(known, model), 0U);
    this->expect_no_faults();
}

TEST_F(whole_path_test, a_restarted_upstream_is_no_longer_leaving)
{
    auto& desk = *this->world.upstreams["desk-a"];
    desk.set_leaving(true);
    this->world.upstreams["desk-b"]->set_mode(upstream_mode::rejects_all);
    EXPECT_EQ(this->send_request("book").status, 200);
    EXPECT_EQ(this->send_request("book").status, 503) << "no upstream is left";
    desk.set_leaving(false);
    this->world.register_restart(desk);
    EXPECT_TRUE(this->world.run_until(
        [this]() { return this->send_request("book").status == 200; }));
}

// A cut watch is no outage of the store, in which entries expire.
TEST_F(whole_path_test,
       sends_nothing_to_an_upstream_that_left_after_a_cut_watch)
{
    this->world.store.cut_watches();
    this->world.run_for(core::milliseconds(1000));
    this->world.store.remove("servers", "desk-a");
    this->world.run_for(core::milliseconds(500));
    const auto begin = this->world.clock.now();
    for (auto round = 0; round < 4; ++round) {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            EXPECT_EQ(this->send_request("book", at).status, 200);
        }
    }
    EXPECT_EQ(this->arrivals_since(begin, "desk-a"), 0U);
}

// An entry that expired in an outage reappears within two seconds of its end,
// no matter when its removal is seen.
TEST_F(whole_path_test, sends_nothing_to_an_upstream_that_left_after_an_outage)
{
    this->world.store.set_mode(store_mode::busy);
    this->world.store.cut_watches();
    this->world.run_for(core::milliseconds(1500));
    this->world.store.set_mode(store_mode::serves);
    this->world.run_for(core::milliseconds(1900));
    this->world.store.remove("servers", "desk-a");
    this->world.run_for(core::milliseconds(1500));
    const auto begin = this->world.clock.now();
    for (auto round = 0; round < 4; ++round) {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            EXPECT_EQ(this->send_request("book", at).status, 200);
        }
    }
    EXPECT_EQ(this->arrivals_since(begin, "desk-a"), 0U);
}

TEST_F(whole_path_test, sends_nothing_to_an_upstream_during_its_retry_after)
{
    for (const auto* name : {"desk-a", "feed-a", "model1-a"}) {
        this->world.upstreams[name]->set_mode(upstream_mode::rejects_all);
        this->world.upstreams[name]->set_hold_off("1.5");
    }
    const auto begin = this->world.clock.now();
    while (this->world.clock.now() - begin < core::milliseconds(1400)) {
        EXPECT_EQ(this->send_request("book").status, 200);
        EXPECT_EQ(this->send_request("stream").status, 200);
        EXPECT_EQ(this->send_request("staged").status, 200);
    }
    // Two requests of a node may reach the upstream, because the second can be
    // in flight when the first is rejected.
    EXPECT_LE(this->arrivals_since(begin, "desk-a"), 2U);
    EXPECT_LE(this->arrivals_since(begin, "feed-a"), 2U);
    EXPECT_LE(this->arrivals_since(begin, "model1-a"), 2U);
    this->world.upstreams["desk-a"]->set_mode(upstream_mode::works);
    EXPECT_TRUE(this->world.run_until([&]() {
        this->send_request("book");
        return this->arrivals_since(begin, "desk-a") > 2;
    })) << "the upstream is used again after the hold-off";
    this->expect_no_faults();
}

// A Retry-After applies to the upstream, whichever kind of call it answers.
TEST_F(whole_path_test, a_rejected_free_call_holds_off_stage_calls_too)
{
    auto& feed = *this->world.upstreams["feed-a"];
    feed.set_mode(upstream_mode::rejects_frees);
    feed.set_hold_off("1.5");
    auto first_rejection = core::time_point();
    EXPECT_TRUE(this->world.run_until([&]() {
        EXPECT_EQ(this->send_request("staged").status, 200);
        const auto& all = this->world.journal.arrivals;
        const auto rejected =
            std::find_if(all.begin(), all.end(), [](const auto& record) {
                return record.upstream == "feed-a" &&
                       record.path == "/almondtiller/stage-free";
            });
        first_rejection =
            rejected == all.end() ? core::time_point() : rejected->at;
        return rejected != all.end();
    }));
    const auto begin = first_rejection + core::milliseconds(500);
    while (this->world.clock.now() <
           first_rejection + core::milliseconds(1400)) {
        EXPECT_EQ(this->send_request("staged").status, 200);
    }
    EXPECT_LE(this->arrivals_since(begin, "feed-a"), 2U);
    this->expect_no_faults();
}

// Load pattern: all upstreams of a service shed load at once. Requests waited
// for them until their deadline although they could have been rejected
// immediately.
TEST_F(whole_path_test, rejects_at_once_while_all_upstreams_are_held_off)
{
    for (const auto* name : {"desk-a", "desk-b"}) {
        this->world.upstreams[name]->set_mode(upstream_mode::rejects_all);
        this->world.upstreams[name]->set_hold_off("1.5");
    }
    EXPECT_EQ(this->send_request("book").status, 503);
    const auto begin = this->world.clock.now();
    const auto& record = this->send_request("book");
    EXPECT_LT(this->world.clock.now() - begin, core::milliseconds(100));
    EXPECT_EQ(record.status, 503);
    EXPECT_GT(record.retry_after, 0.3);
    EXPECT_LT(record.retry_after, 2.0);
    this->expect_no_faults();
}

// The upstreams state their limit in answers to several nodes, and the bound
// holds for the sum of what all nodes send, of every kind of request.
TEST_F(whole_path_test, an_upstream_gets_no_more_requests_than_its_limit)
{
    constexpr auto per_second = 2;
    constexpr auto window = std::chrono::seconds(4);
    constexpr auto bound = std::size_t(per_second * 1.5 * window.count() + 5);
    EXPECT_EQ(this->send_request("stream").status, 200);
    const auto model = this->world.journal.runs.back().upstream;
    const auto limited = std::vector<std::string>{"desk-a", "feed-a", model};
    for (const auto& name : limited) {
        this->world.upstreams[name]->set_request_limit(
            std::to_string(per_second));
    }
    const auto send_to_all_nodes = [this]() {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            for (const auto* path : {"book", "stream", "staged"}) {
                EXPECT_EQ(this->send_request(path, at).status, 200) << path;
            }
        }
    };
    const auto begin = this->world.clock.now();
    ASSERT_TRUE(this->world.run_until([&]() {
        send_to_all_nodes();
        return std::all_of(limited.begin(), limited.end(),
                           [&](const auto& name) {
                               return this->arrivals_since(begin, name) > 0;
                           });
    }));
    this->world.run_for(core::milliseconds(500));
    const auto known = this->world.clock.now();
    while (this->world.clock.now() - known < window) {
        send_to_all_nodes();
    }
    for (const auto& name : limited) {
        EXPECT_LE(this->most_arrivals(known, name, window), bound) << name;
        EXPECT_GT(this->arrivals_since(known, name), 0U)
            << name << " is still used";
    }
    this->expect_no_faults();
}

TEST_F(whole_path_test, an_upstream_is_fully_used_once_its_limit_has_ended)
{
    auto& desk = *this->world.upstreams["desk-a"];
    const auto limited = [this]() {
        return this->metric("almondtiller_gateway_limited_upstreams{"
                            "service=\"desk\"}");
    };
    desk.set_request_limit("1");
    EXPECT_TRUE(this->world.run_until([&]() {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            EXPECT_EQ(this->send_request("book", at).status, 200);
        }
        return limited() > 0;
    }));
    desk.set_request_limit("");
    const auto begin = this->world.clock.now();
    EXPECT_TRUE(this->world.run_until([&]() {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            EXPECT_EQ(this->send_request("book", at).status, 200);
        }
        return this->most_arrivals(begin, "desk-a", std::chrono::seconds(1)) >
               10;
    }));
    this->expect_no_faults();
}

// Guards against figures that stay at the node that sent the request, while
// another one places the requests of the service.
TEST_F(whole_path_test, the_speed_that_upstreams_state_reaches_the_owners)
{
    const auto slowest = [this](const std::string& service) {
        return this->metric("almondtiller_gateway_upstream_slowdown_max{"
                            "service=\"" +
                            service + "\"}");
    };
    const auto set_load = [this](const std::string& figures) {
        for (const auto& [name, upstream] : this->world.upstreams) {
            upstream->set_load(figures);
        }
    };
    const auto send_to_all_nodes = [this]() {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            for (const auto* path : {"stream", "staged"}) {
                EXPECT_EQ(this->send_request(path, at).status, 200) << path;
            }
        }
    };
    for (const auto* figures : {"0,0,4", "0,0,4,-1", "0,0,4,1e9", "x,,y,z"}) {
        set_load(figures);
        send_to_all_nodes();
        EXPECT_EQ(slowest("model"), 0) << figures << ": not in use";
        EXPECT_EQ(slowest("feed"), 0) << figures << ": not in use";
    }
    set_load("x,,y,300");
    for (const auto* service : {"model", "feed"}) {
        EXPECT_TRUE(this->world.run_until([&]() {
            send_to_all_nodes();
            return slowest(service) > 1.5;
        })) << service;
    }
    this->expect_no_faults();
}

// Guards against a request that is sent to one idle upstream after the other,
// that waits, or whose stages run, although no upstream can hold it.
TEST_F(whole_path_test, refuses_at_once_what_no_upstream_can_hold)
{
    this->caller.set_sessions(0, 200000);
    for (const auto* path : {"stream", "staged"}) {
        const auto& record = this->send_request(path);
        EXPECT_EQ(record.status, 503) << path;
        EXPECT_GT(record.retry_after, 0.0) << path;
        EXPECT_LT(record.ended - record.sent, core::milliseconds(2000)) << path;
    }
    EXPECT_TRUE(this->world.journal.arrivals.empty());
    EXPECT_EQ(this->world.journal.stage_calls, 0U);
    EXPECT_EQ(this->metric("almondtiller_gateway_outcomes_total{outcome="
                           "\"refused\",reason=\"request_too_large\"}"),
              2);
    this->expect_no_faults();
}

// Load pattern: all upstreams of a service state limits in a burst.
TEST_F(whole_path_test, rejects_at_once_what_limits_leave_no_time_for)
{
    for (const auto* name : {"desk-a", "desk-b"}) {
        this->world.upstreams[name]->set_request_limit("0.5");
        this->world.upstreams[name]->set_mode(upstream_mode::works);
    }
    // The route's timeout is 3 s, so about three requests have time to wait.
    auto open = std::vector<const call_record*>();
    for (auto number = std::size_t(0); number < 6; ++number) {
        EXPECT_EQ(this->send_request("book", number % 3).status, 200);
    }
    this->world.run_for(core::milliseconds(100));
    for (auto number = std::size_t(0); number < 12; ++number) {
        open.push_back(&this->caller.call(
            this->nodes[number % 3]->settings.front, "book"));
    }
    this->world.run_for(core::milliseconds(300));
    const auto rejected =
        std::count_if(open.begin(), open.end(), [](const auto* record) {
            return record->status == 503 && record->retry_after > 0.3;
        });
    EXPECT_GE(rejected, 8);
    for (const auto* record : open) {
        EXPECT_TRUE(this->caller.wait(*record));
        EXPECT_TRUE(record->status == 200 || record->status == 503);
    }
    this->expect_no_faults();
}

// Upstreams crash when they begin to answer a prompt with one of its parts. The
// nodes once sent such requests to one upstream after the other.
TEST_F(whole_path_test, a_prompt_part_that_crashes_upstreams_is_not_sent_again)
{
    for (const auto* id : {"model3-a", "model4-a", "model5-a", "model6-a"}) {
        this->world.add_upstream(id, "model", "a");
    }
    ASSERT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_usable_upstreams{"
                            "service=\"model\"}") ==
               double(this->nodes.size() * 8);
    }));
    this->set_fatal_part("dead");
    for (auto round = std::size_t(0); round < 12; ++round) {
        const auto number = std::to_string(round);
        const auto at = round % this->nodes.size();
        this->caller.set_prompt("5c:60,a" + number + ":20,9b:40");
        EXPECT_EQ(this->send_request("resumable", at).status, 200);
        this->caller.set_prompt("5c:60,dead:20,b" + number + ":20,9b:40");
        this->send_request("stream", at);
    }
    EXPECT_LE(this->world.journal.crashes.size(), 4U);
    EXPECT_EQ(this->caller.records().back()->status, 503);
    this->expect_no_faults();
}

TEST_F(whole_path_test,
       a_request_that_crashes_upstreams_is_not_repeated_for_long)
{
    this->set_fatal_part("dead");
    this->caller.set_prompt("5c:60,dead:20,9b:40");
    EXPECT_EQ(this->send_request("resumable").status, 502);
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->metric(quarantined_metric) == double(this->nodes.size());
    }));
    EXPECT_EQ(this->send_request("resumable", 1).status, 503);
    EXPECT_EQ(this->world.journal.crashes.size(), 3U);
}

// A request can crash each upstream that runs it, while nothing but its path,
// caller and body tells it from others.
TEST_F(whole_path_test,
       a_plain_request_that_crashes_upstreams_is_not_sent_again_for_long)
{
    this->set_fatal_body("dead");
    for (auto round = std::size_t(0); round < 8; ++round) {
        this->caller.set_body("dead");
        this->send_request("book", round % this->nodes.size());
        this->world.run_for(core::milliseconds(1200));
        this->caller.set_body("");
        EXPECT_EQ(this->send_request("book", round % this->nodes.size()).status,
                  200);
    }
    EXPECT_LE(this->world.journal.crashes.size(), 4U);
    this->caller.set_body("dead");
    EXPECT_EQ(this->send_request("book").status, 503);
    this->expect_no_faults();
}

TEST_F(whole_path_test,
       a_stream_that_crashes_upstreams_is_not_sent_again_for_long)
{
    this->set_fatal_body("dead");
    for (auto round = std::size_t(0); round < 8; ++round) {
        const auto at = round % this->nodes.size();
        this->caller.set_prompt("9b:40");
        this->caller.set_body("dead");
        this->send_request("stream", at);
        this->world.run_for(core::milliseconds(1000));
        this->caller.set_body("");
        EXPECT_EQ(this->send_request("stream", at).status, 200);
    }
    EXPECT_LE(this->world.journal.crashes.size(), 4U);
    this->caller.set_body("dead");
    EXPECT_EQ(this->send_request("stream").status, 503);
    this->expect_no_faults();
}

TEST_F(whole_path_test, a_new_node_rejects_the_prompts_that_crash_upstreams)
{
    this->set_fatal_part("dead");
    this->caller.set_prompt("5c:60,dead:20,9b:40");
    this->send_request("resumable");
    const auto crashes = this->world.journal.crashes.size();
    const auto& added = this->add_node("b");
    this->wait_ready(added);
    ASSERT_TRUE(this->world.run_until([this]() {
        return this->metric(quarantined_metric) == double(this->nodes.size());
    }));
    const auto last = this->nodes.size() - 1;
    EXPECT_EQ(this->send_request("stream", last).status, 503);
    EXPECT_EQ(this->world.journal.crashes.size(), crashes);
    this->expect_no_faults();
}

// An upstream may run a request and lose its answer, or be cut off from it by
// the network. That says nothing about the prompt.
TEST_F(whole_path_test, prompts_whose_answers_are_lost_are_sent_again)
{
    this->set_model_mode(upstream_mode::loses_answers);
    for (auto round = 0; round < 6; ++round) {
        EXPECT_EQ(this->send_request("stream").status, 502);
    }
    this->set_model_mode(upstream_mode::works);
    EXPECT_EQ(this->send_request("stream").status, 200);
    EXPECT_EQ(this->metric("almondtiller_gateway_upstream_crashes_total"), 0);
}

TEST_F(whole_path_test, sends_nothing_to_draining_upstreams_or_evacuated_zones)
{
    this->world.register_upstream(*this->world.upstreams["desk-a"], "draining");
    this->world.store.put("evacuations", "b", {});
    this->world.add_upstream("desk-c", "desk", "c");
    ASSERT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_usable_upstreams{"
                            "service=\"desk\"}") == 3;
    })) << "each node has only one usable upstream";
    const auto before = this->world.journal.runs.size();
    for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
        EXPECT_EQ(this->send_request("book", at).status, 200);
    }
    for (auto index = before; index < this->world.journal.runs.size();
         ++index) {
        EXPECT_EQ(this->world.journal.runs[index].upstream, "desk-c");
    }
}

TEST_F(whole_path_test, a_leaving_node_finishes_its_requests_and_stops)
{
    auto& leaving = *this->nodes[0];
    const auto& open = this->caller.call(leaving.settings.front, "staged");
    leaving.process->leave();
    EXPECT_EQ(this->readiness(leaving), 503);
    EXPECT_TRUE(this->caller.wait(open));
    EXPECT_EQ(open.status, 200);
    const auto own = core::to_text(leaving.settings.front);
    EXPECT_TRUE(this->world.run_until([this, &own]() {
        return this->directory_answer(*this->nodes[1]).find(own) ==
               std::string::npos;
    }));
    EXPECT_TRUE(
        this->world.run_until([&leaving]() { return leaving.has_stopped; }));
    EXPECT_FALSE(this->world.store.has("almondtiller-nodes", "n0"));
    this->nodes.erase(this->nodes.begin());
    EXPECT_EQ(this->send_request("staged").status, 200);
    this->expect_no_faults();
}

// Guards against an order that is passed on to an upstream and never answered:
// its upload ends when the leaving node has no other request.
TEST_F(whole_path_test, a_leaving_node_answers_a_request_that_is_being_read)
{
    auto& leaving = *this->nodes[0];
    leaving.settings.grace = core::milliseconds(8000);
    leaving.process->reload(leaving.settings);
    auto stream = std::shared_ptr<event::tcp_stream>();
    auto answer = std::string();
    event::tcp_stream::connect(
        this->world.loop, leaving.settings.front, core::milliseconds(1000),
        [&stream](auto connected, auto) { stream = std::move(connected); });
    ASSERT_TRUE(this->world.run_until([&]() { return stream != nullptr; }));
    stream->start([&answer](std::string_view bytes) { answer += bytes; },
                  [](auto) {});
    leaving.process->leave();
    this->world.run_for(core::milliseconds(2000));
    stream->write("POST /book/1 HTTP/1.1\r\nHost: api.example\r\n"
                  "X-Almondtiller-Request-Id: upload\r\n"
                  "Authorization: Bearer key\r\n"
                  "Content-Length: 4\r\n\r\n12");
    this->world.run_for(core::milliseconds(1800));
    ASSERT_FALSE(leaving.has_stopped);
    stream->write("34");
    EXPECT_TRUE(this->world.run_until(
        [&answer]() { return answer.starts_with("HTTP/1.1 "); },
        core::milliseconds(2000)));
    EXPECT_TRUE(this->world.run_until(
        [&leaving]() { return leaving.has_stopped; }, core::milliseconds(500)));
    this->expect_no_faults();
}

TEST_F(whole_path_test, continues_to_serve_while_the_store_is_unavailable)
{
    this->world.store.set_mode(store_mode::silent);
    this->world.run_for(core::milliseconds(300));
    for (const auto* path : {"staged", "read", "book"}) {
        EXPECT_EQ(this->send_request(path).status, 200);
    }
    this->world.store.set_mode(store_mode::serves);
    this->world.put_config({"key", "later"});
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->send_request("read", 2, "later").status == 200;
    }));
    this->expect_no_faults();
}

TEST_F(whole_path_test, follows_the_store_after_its_history_is_gone)
{
    this->world.store.compact();
    this->world.put_config({"key", "later"});
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->send_request("read", 1, "later").status == 200;
    }));
}

// Guards against changes that are missed while a restored store has not yet
// reached the revision from before again.
TEST_F(whole_path_test, follows_a_store_that_is_restored_from_a_copy)
{
    this->world.store.keep_copy();
    this->write_entries(40);
    this->world.put_config({"key", "lost"});
    ASSERT_TRUE(this->serves_key_everywhere("lost"));
    this->world.store.restore();
    this->world.put_config({"key", "later"});
    const auto begin = this->world.store.calls();
    EXPECT_TRUE(this->serves_key_everywhere("later"));
    EXPECT_LT(this->world.store.calls() - begin, 200U);
}

// A restored store that has passed the revision from before does not reject the
// watches of the nodes. Guards against the loss of what it contains up to that
// revision.
TEST_F(whole_path_test, reads_all_objects_of_a_restored_store)
{
    this->world.store.keep_copy();
    this->write_entries(20);
    this->world.put_config({"key", "lost"});
    ASSERT_TRUE(this->serves_key_everywhere("lost"));
    this->world.store.set_mode(store_mode::silent);
    this->world.store.restore();
    this->world.put_config({"key", "later"});
    this->write_entries(40);
    this->world.store.set_mode(store_mode::serves);
    EXPECT_TRUE(this->serves_key_everywhere("later"));
}

// The registrations are newer than the copy.
TEST_F(whole_path_test, nodes_register_again_in_a_restored_store)
{
    this->world.store.keep_copy();
    auto& late = this->add_node("b");
    this->wait_ready(late);
    EXPECT_TRUE(this->wait_for_peers());
    const auto name = late.settings.node.str();
    this->world.store.restore();
    EXPECT_FALSE(this->world.store.has(node_kind, name));
    EXPECT_TRUE(this->world.run_until(
        [&]() { return this->world.store.has(node_kind, name); }));
    EXPECT_TRUE(this->wait_for_peers());
}

// Guards against a lost change: the watches miss a configuration and continue
// at later revisions, so that only nodes that start afterwards have it.
TEST_F(whole_path_test, fetches_a_missed_configuration_from_a_peer)
{
    this->world.store.set_muted(true);
    this->world.put_config({"key", "later"});
    this->world.store.set_muted(false);
    // Each change of the store moves all watches past the missed revision.
    auto& late = this->add_node("b");
    this->wait_ready(late);
    EXPECT_EQ(this->send_request("read", 3, "later").status, 200);
    for (auto at = std::size_t(0); at < 3; ++at) {
        EXPECT_TRUE(this->world.run_until(
            [this, at]() {
                return this->send_request("read", at, "later").status == 200;
            },
            core::milliseconds(3000)))
            << "node " << at;
    }
}

// Guards against a node that stays unready when the last list to arrive is
// empty and nothing changes afterwards.
TEST_F(whole_path_test, is_ready_as_soon_as_all_lists_are_read)
{
    this->world.store.set_delay("evacuations", core::milliseconds(200));
    auto& node = this->add_node("a");
    // One second from the moment when the node can serve.
    EXPECT_TRUE(
        this->world.run_until([&]() { return this->readiness(node) == 200; },
                              core::milliseconds(1200)));
}

TEST_F(whole_path_test, a_lost_owner_is_replaced)
{
    for (auto turn = 0; turn < 2; ++turn) {
        this->nodes.erase(this->nodes.begin());
        for (auto number = 0; number < 4; ++number) {
            EXPECT_EQ(this->send_request("staged").status, 200);
        }
    }
    this->expect_no_faults();
}

// An upstream may send an invalid answer without end until the node closes the
// connection.
TEST_F(whole_path_test, aborts_answers_that_never_end)
{
    for (const auto* name : {"desk-a", "feed-a", "map-b", "model1-a"}) {
        this->world.upstreams[name]->set_mode(upstream_mode::endless);
    }
    for (auto number = 0; number < 4; ++number) {
        EXPECT_EQ(this->send_request("read").status, 200)
            << "the request is repeated at another upstream";
        const auto& booked = this->send_request("book");
        EXPECT_TRUE(booked.status == 200 || booked.status == 502);
        EXPECT_EQ(this->send_request("resumable").status, 200);
        EXPECT_EQ(this->send_request("staged").status, 200);
    }
    // Each answer is cut after a megabyte; more bytes may be in flight then.
    const auto sent = this->world.journal.endless_bytes;
    EXPECT_GT(sent, 0U);
    EXPECT_LT(sent, std::uint64_t(64) << 20U);
    this->world.run_for(core::milliseconds(300));
    EXPECT_EQ(this->world.journal.endless_bytes, sent)
        << "all connections are closed";
    this->expect_no_faults();
}

// The store accepts writes and never answers them.
TEST_F(whole_path_test, retries_registration_when_the_store_does_not_answer)
{
    this->world.store.set_mode(store_mode::ignores_writes);
    auto& late = this->add_node("b");
    this->wait_ready(late);
    this->world.run_for(core::milliseconds(200));
    this->world.store.set_mode(store_mode::serves);
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_peers_alive") == 12;
    })) << "the other nodes see the fourth as alive";
}

// Guards against a node that the others no longer know, while it counts itself
// as the owner of services: a removal that another process sent is executed
// after the node has registered.
TEST_F(whole_path_test, a_node_whose_entry_is_removed_registers_again)
{
    const auto incarnation = this->registered_incarnation("n0");
    this->world.store.remove(node_kind, "n0");
    EXPECT_TRUE(this->world.run_until([this, &incarnation]() {
        return this->registered_incarnation("n0") == incarnation;
    }));
    EXPECT_TRUE(this->wait_for_peers());
}

// The registration of an earlier process of the node is written late.
TEST_F(whole_path_test, a_node_whose_entry_is_replaced_registers_again)
{
    auto entry = this->world.store.spec(node_kind, "n0");
    const auto incarnation = this->registered_incarnation("n0");
    entry["incarnation"] = "earlier";
    this->world.store.put(node_kind, "n0", entry);
    EXPECT_TRUE(this->world.run_until([this, &incarnation]() {
        return this->registered_incarnation("n0") == incarnation;
    }));
    EXPECT_TRUE(this->wait_for_peers());
}

// Guards against a stopped node whose removal, executed late, takes away the
// registration of its successor.
TEST_F(whole_path_test, a_late_removal_spares_the_next_process)
{
    auto& restarted = *this->nodes[0];
    this->world.store.set_removal_delay(core::milliseconds(6000));
    this->restart_node(restarted);
    EXPECT_TRUE(this->wait_for_peers());
    auto was_registered = true;
    EXPECT_TRUE(this->world.run_until([this, &was_registered]() {
        was_registered =
            was_registered && this->world.store.has(node_kind, "n0");
        return this->world.store.late_removals() == 1;
    }));
    EXPECT_TRUE(was_registered && this->world.store.has(node_kind, "n0"));
}

/// Tests of the end of answers. The parameter is how it is marked.
class answer_end_test : public whole_path_test,
                        public testing::WithParamInterface<answer_framing>
{
protected:
    answer_end_test()
    {
        for (const auto& [id, upstream] : this->world.upstreams) {
            upstream->set_framing(GetParam());
        }
    }
};

TEST_P(answer_end_test, an_answer_with_a_proper_end_is_complete)
{
    for (const auto* path : {"stream", "resumable", "staged", "read", "book"}) {
        const auto& record = this->send_request(path);
        EXPECT_EQ(record.status, 200);
        EXPECT_TRUE(record.is_complete);
    }
    EXPECT_EQ(this->world.journal.runs.size(), 5U);
    this->expect_no_faults();
}

TEST_P(answer_end_test, a_plain_answer_that_is_cut_has_failed)
{
    for (const auto* name : {"desk-a", "desk-b"}) {
        this->world.upstreams[name]->set_mode(upstream_mode::aborts_answers);
    }
    EXPECT_EQ(this->send_request("book").status, 502);
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
    this->expect_no_faults();
}

TEST_P(answer_end_test, a_stage_answer_that_is_cut_has_failed)
{
    for (const auto* name : {"feed-a", "feed-b"}) {
        this->world.upstreams[name]->set_mode(upstream_mode::aborts_answers);
    }
    EXPECT_EQ(this->send_request("staged").status, 503);
    EXPECT_TRUE(this->world.journal.runs.empty());
    this->expect_no_faults();
}

// An upstream sends a copy of a stage answer where the next one is due, and the
// true answer after it. Guards against results of one request that are given
// to another.
TEST_F(whole_path_test, results_of_another_call_are_not_used)
{
    for (const auto* name : {"feed-a", "feed-b", "map-a", "map-b"}) {
        this->world.upstreams[name]->set_mode(upstream_mode::answers_twice);
    }
    constexpr auto count = std::size_t(60);
    auto records = std::vector<const call_record*>();
    for (auto number = std::size_t(0); number < count; ++number) {
        records.push_back(&this->caller.call(
            this->nodes[number % this->nodes.size()]->settings.front,
            "staged"));
        this->world.run_for(core::milliseconds(4));
    }
    auto served = 0;
    for (const auto* record : records) {
        EXPECT_TRUE(this->caller.wait(*record));
        served += record->status == 200 ? 1 : 0;
    }
    EXPECT_GT(served, 0);
    EXPECT_EQ(this->world.journal.violations, std::vector<std::string>());
    this->expect_no_faults();
}

// An upstream states a limit, and sends a copy of an answer from before it.
// Guards against a limit that ends because the copy does not state it.
TEST_F(whole_path_test, a_second_copy_of_an_answer_ends_no_limit)
{
    const auto limited = [this]() {
        return this->metric("almondtiller_gateway_limited_upstreams{"
                            "service=\"feed\"}");
    };
    this->nodes.resize(1);
    this->world.crash_upstream("feed-b");
    this->wait_for_upstreams("feed", 1);
    auto& feed = *this->world.upstreams["feed-a"];
    feed.set_mode(upstream_mode::answers_twice);
    feed.set_request_limit("20");
    EXPECT_EQ(this->send_request("staged").status, 200);
    ASSERT_EQ(limited(), 1);
    feed.set_mode(upstream_mode::hangs);
    const auto calls = this->world.journal.stage_calls;
    this->caller.call(this->nodes[0]->settings.front, "staged");
    // The second call follows the copy, which ended the first.
    ASSERT_TRUE(this->world.run_until([this, calls]() {
        return this->world.journal.stage_calls >= calls + 2;
    }));
    EXPECT_EQ(limited(), 1);
}

// The upstreams of a stage send each answer again before the next, and their
// number goes to that from which a service has a shard in each zone, and back.
// Guards against a copy that arrives for another shard than its original and
// gives a request the results of another.
TEST_F(whole_path_test, results_of_another_call_are_not_used_by_other_shards)
{
    constexpr auto upstreams_to_shard = std::size_t(24);
    // One node owns all shards and keeps its connections across the changes.
    this->nodes.resize(1);
    const auto add_feed = [this](std::size_t number) {
        const auto zone = std::string(number % 2 == 0 ? "a" : "b");
        auto& added = this->world.add_upstream(
            "feed-" + zone + std::to_string(number), "feed", zone);
        added.set_mode(upstream_mode::repeats_stage_answers);
    };
    for (const auto* name : {"feed-a", "feed-b"}) {
        this->world.upstreams[name]->set_mode(
            upstream_mode::repeats_stage_answers);
    }
    for (auto number = std::size_t(2); number + 1 < upstreams_to_shard;
         ++number) {
        add_feed(number);
    }
    this->wait_for_upstreams("feed", upstreams_to_shard - 1);
    // The pieces of a request fill a call, so that all answers look alike.
    this->caller.set_pieces("8,1");
    auto served = 0;
    const auto send_requests = [this, &served]() {
        auto records = std::vector<const call_record*>();
        for (auto number = std::size_t(0); number < upstreams_to_shard;
             ++number) {
            records.push_back(
                &this->caller.call(this->nodes[0]->settings.front, "staged"));
        }
        for (const auto* record : records) {
            EXPECT_TRUE(this->caller.wait(*record));
            served += record->status == 200 ? 1 : 0;
        }
    };
    send_requests();
    add_feed(upstreams_to_shard);
    this->wait_for_upstreams("feed", upstreams_to_shard);
    send_requests();
    this->world.crash_upstream("feed-a" + std::to_string(upstreams_to_shard));
    this->wait_for_upstreams("feed", upstreams_to_shard - 1);
    send_requests();
    EXPECT_GT(served, 0);
    EXPECT_EQ(this->world.journal.violations, std::vector<std::string>());
    this->expect_no_faults();
}

// An upstream rejects a request for a lost input, gets it again, and sends a
// copy of the rejection before the true answer. Guards against a request that
// runs twice because the copy is taken for the answer to the second attempt.
TEST_F(whole_path_test, a_second_copy_of_a_rejection_ends_no_later_attempt)
{
    for (const auto* name : {"model1-b", "model2-a", "model2-b"}) {
        this->world.crash_upstream(name);
    }
    ASSERT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_usable_upstreams{"
                            "service=\"model\"}") == double(this->nodes.size());
    }));
    this->world.upstreams["model1-a"]->set_mode(upstream_mode::rejects_twice);
    const auto& record = this->send_request("staged");
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(record.is_complete);
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
    this->expect_no_faults();
}

// Guards against a caller that gets an answer with status 000, or none until
// its deadline.
TEST_F(whole_path_test, an_answer_with_an_invalid_status_has_failed)
{
    const auto begin = this->world.clock.now();
    this->world.upstreams["desk-a"]->set_mode(
        upstream_mode::answers_without_status);
    for (auto turn = 0; turn < 4; ++turn) {
        EXPECT_EQ(this->send_request("read").status, 200);
    }
    EXPECT_GT(this->arrivals_since(begin, "desk-a"), 0U);
    this->world.upstreams["desk-b"]->set_mode(
        upstream_mode::answers_without_status);
    this->set_model_mode(upstream_mode::answers_without_status);
    for (const auto* path : {"book", "stream"}) {
        const auto runs = this->world.journal.runs.size();
        EXPECT_EQ(this->send_request(path).status, 502) << path;
        EXPECT_EQ(this->world.journal.runs.size(), runs + 1) << path;
    }
    this->expect_no_faults();
}

// A caller states many pieces, or many that each take many inputs. Guards
// against one request whose stage work exhausts the memory of its node and of
// the owners of its stages.
TEST_F(whole_path_test, refuses_at_once_requests_of_too_many_pieces)
{
    for (const auto* pieces : {"200000,3", "300,300", "0,4294967295"}) {
        this->caller.set_pieces(pieces);
        EXPECT_EQ(this->send_request("staged").status, 503) << pieces;
        EXPECT_EQ(this->world.journal.stage_calls, 0U) << pieces;
    }
    this->caller.set_pieces("2,3");
    EXPECT_EQ(this->send_request("staged").status, 200);
    this->expect_no_faults();
}

// Upstreams run requests and fail with a status that tells callers that their
// request has not run. Guards against requests that are refused and have run.
TEST_F(whole_path_test, an_upstreams_refusal_of_what_it_ran_is_withheld)
{
    for (const auto status : {408, 429, 503}) {
        for (const auto& [id, upstream] : this->world.upstreams) {
            upstream->set_failure_status(status);
        }
        for (const auto* path : {"book", "stream", "staged"}) {
            const auto& record = this->send_request(path);
            EXPECT_EQ(record.status, 502) << path << status;
            EXPECT_FALSE(record.is_sealed) << path << status;
        }
        EXPECT_EQ(this->send_request("read").status, status);
    }
    this->expect_no_faults();
}

// An upstream fails a request that it has run, and many others turn it away.
// Guards against a refusal that says that the request has not run.
TEST_F(whole_path_test, a_request_that_has_run_is_not_refused_after_rejections)
{
    constexpr auto desks = 8;
    for (auto number = 2; number < desks; ++number) {
        this->world.add_upstream("desk-" + std::to_string(number), "desk", "a");
    }
    this->wait_for_upstreams("desk", desks);
    for (const auto& [id, upstream] : this->world.upstreams) {
        upstream->set_failure_status(500);
    }
    const auto& record =
        this->caller.call(this->nodes[0]->settings.front, "read");
    ASSERT_TRUE(this->world.run_until(
        [this]() { return !this->world.journal.runs.empty(); }));
    for (const auto& [id, upstream] : this->world.upstreams) {
        upstream->set_mode(upstream_mode::rejects_all);
    }
    EXPECT_TRUE(this->caller.wait(record));
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
    EXPECT_GT(this->world.journal.arrivals.size(), 5U);
    EXPECT_EQ(record.status, 502);
}

// Guards against stage calls with an empty key for callers that omit a stage.
TEST_F(whole_path_test, pieces_after_an_omitted_stage_have_the_callers_key)
{
    for (const auto* pieces : {"0,2", "1,0", "1,2"}) {
        this->caller.set_pieces(pieces);
        EXPECT_EQ(this->send_request("staged").status, 200) << pieces;
    }
    EXPECT_EQ(this->world.journal.violations, std::vector<std::string>());
    this->expect_no_faults();
}

// Guards against stage calls with a key that no caller has sent.
TEST_F(whole_path_test, a_request_without_a_piece_key_is_refused_at_once)
{
    this->caller.set_piece_key("");
    EXPECT_EQ(this->send_request("staged").status, 400);
    EXPECT_EQ(this->world.journal.stage_calls, 0U);
    EXPECT_EQ(this->send_request("stream").status, 200);
    this->expect_no_faults();
}

// The caller got the first part of the event and a proper end.
TEST_P(answer_end_test, a_stream_that_ends_within_an_event_is_broken_off)
{
    this->set_model_mode(upstream_mode::ends_within_event);
    const auto& record = this->send_request("stream");
    EXPECT_EQ(record.status, 200);
    EXPECT_FALSE(record.is_complete);
    EXPECT_FALSE(record.body.empty());
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
    this->expect_no_faults();
}

TEST_P(answer_end_test, a_stream_that_ends_within_an_event_is_resumed)
{
    const auto& record = this->call_with_first_upstream(
        upstream_mode::ends_within_event, "resumable");
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(record.is_complete);
    EXPECT_EQ(this->world.journal.runs.size(), 2U);
    this->expect_no_faults();
}

TEST_P(answer_end_test, a_stream_that_is_reset_after_an_event_is_broken_off)
{
    this->set_model_mode(upstream_mode::aborts_between_events);
    const auto& record = this->send_request("stream");
    EXPECT_EQ(record.status, 200);
    EXPECT_FALSE(record.is_complete);
    EXPECT_EQ(this->world.journal.runs.size(), 1U);
    this->expect_no_faults();
}

TEST_P(answer_end_test, a_stream_without_events_is_complete)
{
    this->set_model_mode(upstream_mode::sends_no_event);
    const auto& record = this->send_request("stream");
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(record.is_complete);
    EXPECT_EQ(record.body, "");
}

INSTANTIATE_TEST_SUITE_P(framings, answer_end_test,
                         testing::Values(answer_framing::chunks,
                                         answer_framing::length,
                                         answer_framing::connection));

/// Tests in which the owner of the model service may be lost. The parameter is
/// the index of the only node that remains.
class owner_change_test : public whole_path_test,
                          public testing::WithParamInterface<std::size_t>
{};

// Load pattern: nodes are stopped in turn. A new owner without the records of
// recently processed prompts places them at other upstreams, which process
// them again.
TEST_P(owner_change_test, sessions_stay_at_upstreams_with_their_cached_prompts)
{
    constexpr auto sessions = 8;
    this->caller.set_sessions(sessions, 6000);
    const auto remaining = GetParam();
    const auto register_others = [this](const char* state) {
        for (const auto* name : {"model1-b", "model2-a", "model2-b"}) {
            this->world.register_upstream(*this->world.upstreams[name], state);
        }
    };
    const auto wait_usable = [this](double upstreams) {
        EXPECT_TRUE(this->world.run_until([this, upstreams]() {
            return this->metric("almondtiller_gateway_usable_upstreams{"
                                "service=\"model\"}") == upstreams;
        }));
    };
    register_others("draining");
    wait_usable(3);
    for (auto session = 0; session < sessions; ++session) {
        EXPECT_EQ(this->send_request("stream", remaining).status, 200);
    }
    register_others("ready");
    wait_usable(12);
    for (auto at = this->nodes.size(); at-- > 0;) {
        if (at != remaining) {
            this->nodes.erase(this->nodes.begin() + std::ptrdiff_t(at));
        }
    }
    const auto begin = this->world.clock.now();
    for (auto session = 0; session < sessions; ++session) {
        EXPECT_EQ(this->send_request("stream").status, 200);
    }
    EXPECT_EQ(this->arrivals_since(begin, "model1-a"), std::size_t(sessions));
    this->expect_no_faults();
}

// A new owner starts without a record of what the old one has sent, and may not
// have had an answer of the upstream itself.
TEST_P(owner_change_test, a_request_limit_holds_across_the_change)
{
    constexpr auto window = std::chrono::seconds(4);
    constexpr auto bound = std::size_t(2 * 1.5 * window.count() + 5);
    this->world.upstreams["desk-a"]->set_request_limit("2");
    auto& leaving = *this->nodes[GetParam()];
    const auto send_to_others = [&]() {
        for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
            if (at != GetParam()) {
                EXPECT_EQ(this->send_request("book", at).status, 200);
            }
        }
    };
    const auto run_for = [&](core::duration time) {
        const auto end = this->world.clock.now() + time;
        while (this->world.clock.now() < end) {
            send_to_others();
        }
    };
    EXPECT_TRUE(this->world.run_until([&]() {
        send_to_others();
        return this->arrivals_since({}, "desk-a") > 0;
    }));
    run_for(core::milliseconds(500));
    const auto known = this->world.clock.now();
    run_for(core::milliseconds(1500));
    leaving.process->leave();
    run_for(core::milliseconds(1500));
    leaving.process.reset();
    run_for(core::milliseconds(1500));
    EXPECT_LE(this->most_arrivals(known, "desk-a", window), bound);
    EXPECT_GT(this->arrivals_since(known, "desk-a"), 0U);
    this->expect_no_faults();
}

INSTANTIATE_TEST_SUITE_P(nodes, owner_change_test, testing::Values(0, 1, 2));

/// Tests with a node that starts while the store's objects change.
class late_start_test : public whole_path_test
{
protected:
    late_start_test()
    {
        for (auto number = 0; number < 8; ++number) {
            this->world.add_upstream("more" + std::to_string(number), "desk",
                                     "a");
        }
    }

    /// \return The number of upstreams of the plain service that a node may
    ///         use; -1 without the metric.
    auto usable_desks(const running_node& running) -> double
    {
        const auto series =
            std::string("\nalmondtiller_gateway_usable_upstreams{"
                        "service=\"desk\"} ");
        const auto page =
            "\n" + this->read_page(running.settings.metrics, "/metrics");
        const auto at = page.find(series);
        return at == std::string::npos
                   ? -1
                   : std::stod(page.substr(at + series.size()));
    }
};

TEST_F(late_start_test, a_stale_list_is_followed_by_later_changes)
{
    this->world.store.freeze_stale_reads();
    this->world.register_upstream(*this->world.upstreams["more7"], "draining");
    this->world.crash_upstream("more6");
    auto& late = this->add_node("b");
    this->wait_ready(late);
    EXPECT_TRUE(
        this->world.run_until([&]() { return this->usable_desks(late) == 8; }));
}

// Guards against continued use of an upstream that was removed while later
// pages of a list were read.
TEST_F(late_start_test, changes_between_two_pages_are_not_missed)
{
    auto pages = 0;
    this->world.store.on_page([this, &pages](const std::string& kind) {
        if (kind == "servers" && ++pages == 1) {
            this->world.register_upstream(*this->world.upstreams["desk-a"],
                                          "draining");
            this->world.crash_upstream("desk-b");
        }
    });
    auto& late = this->add_node("b");
    this->wait_ready(late);
    EXPECT_GT(pages, 1);
    EXPECT_TRUE(
        this->world.run_until([&]() { return this->usable_desks(late) == 8; }));
}

/// Tests with so many nodes that not all are connected to each other.
class large_fleet_test : public whole_path_test
{
protected:
    large_fleet_test()
    {
        while (this->nodes.size() < size) {
            this->add_node(this->nodes.size() % 2 == 0 ? "a" : "b");
        }
        EXPECT_TRUE(this->wait_peers(size - 1));
    }

    /// Waits until each node counts this many peers as alive.
    auto wait_peers(std::size_t others) -> bool
    {
        return this->world.run_until([this, others]() {
            return this->metric("almondtiller_gateway_peers_alive") ==
                   double(this->nodes.size() * others);
        });
    }

    static constexpr auto size = std::size_t(20);
};

TEST_F(large_fleet_test, serves_and_tracks_which_nodes_are_alive)
{
    for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
        EXPECT_EQ(this->send_request("staged", at).status, 200);
        EXPECT_EQ(this->send_request("book", at).status, 200);
    }
    const auto gone = core::to_text(this->nodes.back()->settings.front);
    this->nodes.pop_back();
    ASSERT_TRUE(this->wait_peers(size - 2)) << "one node has crashed";
    auto& leaving = *this->nodes.back();
    leaving.process->leave();
    ASSERT_TRUE(this->world.run_until([&]() { return leaving.has_stopped; }));
    const auto left = core::to_text(leaving.settings.front);
    this->nodes.pop_back();
    ASSERT_TRUE(this->wait_peers(size - 3)) << "one node has left";
    for (const auto& running : this->nodes) {
        const auto answer = this->directory_answer(*running);
        EXPECT_EQ(answer.find('"' + gone + '"'), std::string::npos);
        EXPECT_EQ(answer.find('"' + left + '"'), std::string::npos);
    }
    for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
        EXPECT_EQ(this->send_request("staged", at).status, 200);
    }
    this->expect_no_faults();
}

TEST_F(large_fleet_test, a_change_reaches_all_nodes_through_the_watchers)
{
    this->world.put_config({"key", "second"});
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_configuration_version") ==
               double(2 * this->nodes.size());
    }));
    // Some of the nodes that end are owners and watchers.
    this->nodes.erase(this->nodes.begin(), this->nodes.begin() + 6);
    ASSERT_TRUE(this->wait_peers(this->nodes.size() - 1));
    this->world.put_config({"third"});
    EXPECT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_configuration_version") ==
               double(3 * this->nodes.size());
    }));
    for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
        EXPECT_EQ(this->send_request("staged", at, "third").status, 200);
    }
    this->expect_no_faults();
}

TEST_F(large_fleet_test, all_nodes_learn_which_prompts_crash_upstreams)
{
    this->set_fatal_part("dead");
    this->caller.set_prompt("5c:60,dead:20,9b:40");
    this->send_request("resumable");
    EXPECT_TRUE(this->world.run_until(
        [this]() {
            return this->metric(quarantined_metric) ==
                   double(this->nodes.size());
        },
        core::milliseconds(3000)));
    for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
        EXPECT_EQ(this->send_request("stream", at).status, 503);
    }
    EXPECT_LE(this->world.journal.crashes.size(), 3U);
}

// Load pattern: the configuration has more than half a megabyte, and new
// versions appear before all nodes have read the last one. A node was once sent
// every version that it had missed, which exceeded the size of a message.
TEST_F(large_fleet_test, a_large_and_often_changed_configuration_reaches_all)
{
    constexpr auto versions = 6;
    for (auto number = 0; number < versions; ++number) {
        this->world.put_config({"key", "k" + std::to_string(number)}, 4000);
        this->world.run_for(core::milliseconds(30));
    }
    EXPECT_TRUE(this->world.run_until(
        [this]() {
            return this->metric("almondtiller_gateway_configuration_version") ==
                   double((versions + 1) * this->nodes.size());
        },
        core::milliseconds(6000)));
    EXPECT_EQ(this->send_request("book", 3, "k5").status, 200);
}

// In a large service, the upstreams of each zone have a separate owner.
TEST_F(large_fleet_test, large_services_have_an_owner_for_each_zone)
{
    for (auto number = 0; number < 12; ++number) {
        for (const auto* zone : {"a", "b"}) {
            const auto suffix = std::to_string(number) + zone;
            this->world.add_upstream("feed" + suffix, "feed", zone);
            this->world.add_upstream("model" + suffix, "model", zone);
        }
    }
    ASSERT_TRUE(this->world.run_until([this]() {
        return this->metric("almondtiller_gateway_usable_upstreams{"
                            "service=\"model\"}") ==
               double(this->nodes.size() * 28);
    }));
    this->caller.set_sessions(10);
    const auto begin = this->world.journal.runs.size();
    auto records = std::vector<const call_record*>();
    for (auto round = 0; round < 8; ++round) {
        for (const auto& running : this->nodes) {
            records.push_back(
                &this->caller.call(running->settings.front, "staged"));
        }
    }
    auto served = 0;
    for (const auto* record : records) {
        EXPECT_TRUE(this->caller.wait(*record));
        served += record->status == 200 ? 1 : 0;
    }
    EXPECT_EQ(served, int(records.size()));
    auto zones = std::map<char, int>();
    for (auto at = begin; at < this->world.journal.runs.size(); ++at) {
        ++zones[this->world.journal.runs[at].upstream.back()];
    }
    EXPECT_GT(zones['a'], 0);
    EXPECT_GT(zones['b'], 0);
    // The owners of zone a end.
    std::erase_if(this->nodes, [](const auto& running) {
        return running->settings.zone == core::zone_name("a") &&
               running->settings.node != core::node_id("n18");
    });
    ASSERT_TRUE(this->wait_peers(this->nodes.size() - 1));
    for (auto at = std::size_t(0); at < this->nodes.size(); ++at) {
        EXPECT_EQ(this->send_request("staged", at).status, 200);
    }
    this->expect_no_faults();
}

} // namespace
} // namespace almondtiller::gateway
