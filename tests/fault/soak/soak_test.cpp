#include "core/random.h"
#include "limit_check.h"
#include "soak_fleet.h"
#include "stream_check.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>

// Real gateway processes under random faults from outside. What must
// always hold is checked from what callers and upstreams see. SOAK_SEEDS="1 2
// 3" runs other seeds; logs of a failed seed stay in the folder that it names.

namespace almondtiller::soak {
namespace {

using gateway_world::answer_framing;
using gateway_world::store_mode;
using gateway_world::upstream_mode;

constexpr auto node_count = std::size_t(4);
constexpr auto soak_time = core::milliseconds(6000);
constexpr auto request_interval = core::milliseconds(15);
/// All faults are over: every node serves every kind again within that time.
constexpr auto recovery_bound = core::milliseconds(12000);
/// Faults end at most this long after their planned end.
constexpr auto latest_restore = core::milliseconds(500);
/// A request limit binds this long after an upstream has first stated it.
constexpr auto limit_notice = core::milliseconds(3000);

/// Three for every run, and those that once failed. 16: the driver itself died
/// of SIGPIPE when it wrote to a proxy that had reset the connection.
const auto regression_seeds = std::vector<std::uint64_t>{1, 2, 3, 16};
const auto limit_seeds = std::vector<std::uint64_t>{101, 102};

const auto paths = std::vector<std::string>{
    "staged", "staged_resumable", "stream", "resumable", "read", "book"};

auto seeds(const std::vector<std::uint64_t>& usual)
    -> std::vector<std::uint64_t>
{
    const auto* given = std::getenv("SOAK_SEEDS");
    if (given == nullptr) {
        return usual;
    }
    auto list = std::vector<std::uint64_t>();
    auto stream = std::istringstream(given);
    for (auto seed = std::uint64_t(0); stream >> seed;) {
        list.push_back(seed);
    }
    return list;
}

class soak_run
{
public:
    /// \param stated Request limits of upstreams, in requests per second.
    explicit soak_run(std::uint64_t seed,
                      std::map<std::string, double> stated = {})
        : random(seed),
          silence_random(~seed),
          answer_random(seed + 1),
          limits(std::move(stated)),
          folder((std::filesystem::temp_directory_path() /
                  ("almondtiller-soak-" + std::to_string(seed)))
                     .string())
    {
        std::filesystem::create_directories(this->folder);
        for (const auto* name : {"desk-a", "model1-a", "feed-b"}) {
            auto& upstream = *this->world.upstreams[name];
            this->proxies[name] = std::make_unique<proxy_process>(
                *core::parse_endpoint(upstream.address()), this->folder, name);
            upstream.set_advertised(
                core::to_text(this->proxies[name]->address()));
            this->world.register_upstream(upstream, "ready");
        }
        for (const auto& [name, upstream] : this->world.upstreams) {
            this->set_any_framing(*upstream);
        }
        // One session would stay at one model engine.
        constexpr auto sessions = 40;
        this->caller.set_sessions(sessions);
        for (const auto& [name, per_second] : this->limits) {
            this->world.upstreams.at(name)->set_request_limit(
                std::to_string(per_second));
        }
        for (auto index = std::size_t(0); index < node_count; ++index) {
            this->nodes.push_back(std::make_unique<node_process>(
                this->world, this->folder, "n" + std::to_string(index),
                index % 2 == 0 ? "a" : "b"));
            this->nodes.back()->start();
        }
    }

    auto run() -> std::vector<std::string>
    {
        this->await_recovery();
        this->limits_bind_from = this->world.clock.now() + limit_notice;
        auto traffic =
            event::timer(this->world.loop, [this]() { this->send_request(); });
        traffic.start_repeating(request_interval, request_interval);
        const auto end = this->world.clock.now() + soak_time;
        while (this->world.clock.now() < end) {
            this->inject_fault();
            constexpr auto faults_per_pause = 4;
            if (this->random.below(faults_per_pause) == 0) {
                this->pause_streams();
            }
            if (this->silence_random.below(faults_per_pause) == 0) {
                this->stand_still();
            }
            if (this->answer_random.below(faults_per_pause) == 0) {
                this->send_copies();
            }
            if (this->answer_random.below(faults_per_pause) == 0) {
                this->refuse_after_run();
            }
            this->world.run_for(
                core::milliseconds(80 + this->random.below(350)));
            this->run_due();
        }
        this->heal();
        this->await_recovery();
        traffic.stop();
        this->check_evacuation();
        this->world.run_until([this]() { return this->are_calls_done(); },
                              core::milliseconds(8000));
        return this->faults();
    }

    [[nodiscard]] auto successes() const -> std::size_t
    {
        return this->caller.succeeded();
    }
    [[nodiscard]] auto requests() const -> std::size_t
    {
        return this->caller.records().size();
    }
    /// \return Streams that no fault has disturbed.
    [[nodiscard]] auto undisturbed_streams() const -> std::size_t
    {
        return this->stream_checks.undisturbed(this->world.journal);
    }
    [[nodiscard]] auto log_folder() const -> const std::string&
    {
        return this->folder;
    }

private:
    struct sent_call
    {
        const gateway_world::call_record* record;
        node_process* node;
        std::string key;
        /// The node that got it, and whether that had shown the key.
        int incarnation;
        bool is_known_key;
        bool is_checked = false;
    };
    struct delayed
    {
        core::time_point at;
        std::function<void()> action;
    };

    auto send_request() -> void
    {
        auto& node = *this->nodes[this->random.below(node_count)];
        if (!node.is_running()) {
            return;
        }
        const auto& key = this->keys[this->random.below(this->keys.size())];
        const auto& record = this->caller.call(
            node.front(), paths[this->random.below(paths.size())], key);
        this->limit_checks.on_request(record.id, &node);
        if (record.path != "read" && record.path != "book") {
            this->stream_checks.on_request(record, &node);
        }
        this->sent.push_back({&record, &node, key, node.incarnation(),
                              node.seen_keys.contains(key)});
        this->check_keys();
    }

    /// A key that an incarnation of a node has accepted stays accepted.
    auto check_keys() -> void
    {
        for (auto& call : this->sent) {
            if (call.is_checked || !call.record->is_done) {
                continue;
            }
            call.is_checked = true;
            if (call.incarnation != call.node->incarnation()) {
                continue;
            }
            if (call.record->status == 200) {
                call.node->seen_keys.insert(call.key);
            } else if (call.record->status == 401 && call.is_known_key) {
                this->found.push_back("an older configuration again: " +
                                      call.record->id);
            }
        }
    }

    auto later(core::milliseconds delay, std::function<void()> action) -> void
    {
        this->due.push_back(
            {this->world.clock.now() + delay, std::move(action)});
    }

    auto run_due() -> void
    {
        const auto now = this->world.clock.now();
        for (auto index = this->due.size(); index-- > 0;) {
            if (this->due[index].at <= now) {
                const auto action = std::move(this->due[index].action);
                this->due.erase(this->due.begin() + std::ptrdiff_t(index));
                action();
            }
        }
    }

    auto duration() -> core::milliseconds
    {
        return core::milliseconds(200 + this->random.below(1200));
    }

    auto inject_fault() -> void
    {
        static const auto faults = std::vector<void (soak_run::*)()>{
            &soak_run::kill_node,          &soak_run::pause_node,
            &soak_run::stop_node,          &soak_run::disturb_store,
            &soak_run::disturb_store_link, &soak_run::disturb_upstream_link,
            &soak_run::disturb_upstream,   &soak_run::replace_upstream,
            &soak_run::change_config,      &soak_run::evacuate_zone,
            &soak_run::break_streams};
        (this->*faults[this->random.below(faults.size())])();
    }

    auto any_node() -> node_process&
    {
        return *this->nodes[this->random.below(node_count)];
    }

    auto restart(node_process& node) -> void
    {
        if (!node.is_running()) {
            this->disturb(node, core::milliseconds(0));
            node.start();
        }
    }

    auto excuse(const node_process& node, core::milliseconds time) -> void
    {
        const auto now = this->world.clock.now();
        this->limit_checks.excuse(&node, now, now + time);
    }

    auto disturb(const node_process& node, core::milliseconds time) -> void
    {
        const auto now = this->world.clock.now();
        this->excuse(node, time);
        this->stream_checks.disturb_node(&node, now,
                                         now + time + latest_restore);
    }

    auto disturb(const gateway_world::fake_upstream& upstream,
                 core::milliseconds time) -> void
    {
        const auto now = this->world.clock.now();
        const auto end = now + time + latest_restore;
        if (upstream.service() == "model") {
            this->stream_checks.disturb_upstream(upstream.id(), now, end);
        } else {
            this->stream_checks.disturb_service(upstream.service(), now, end);
        }
    }

    auto kill_node() -> void
    {
        auto& node = this->any_node();
        node.kill();
        const auto time = this->duration();
        this->disturb(node, time);
        this->later(time, [this, &node]() { this->restart(node); });
    }

    auto pause_node() -> void
    {
        auto& node = this->any_node();
        node.signal(SIGSTOP);
        const auto time = this->duration();
        this->disturb(node, time);
        this->later(time, [&node]() { node.signal(SIGCONT); });
    }

    auto stop_node() -> void
    {
        auto& node = this->any_node();
        constexpr auto stop_time = core::milliseconds(4200);
        node.signal(SIGTERM);
        this->disturb(node, stop_time);
        this->later(stop_time, [this, &node]() {
            node.kill();
            this->restart(node);
        });
    }

    auto disturb_store() -> void
    {
        static const auto modes =
            std::vector<store_mode>{store_mode::busy, store_mode::silent,
                                    store_mode::drops_write_answers};
        if (this->random.below(4) == 0) {
            this->world.store.compact();
            return;
        }
        this->world.store.set_mode(modes[this->random.below(modes.size())]);
        this->later(this->duration(), [this]() {
            this->world.store.set_mode(store_mode::serves);
        });
    }

    auto random_fault() -> std::string
    {
        static const auto faults =
            std::vector<std::string>{R"({"mode":"delay","delay_ms":150})",
                                     R"({"mode":"black_hole"})",
                                     R"({"mode":"refuse"})",
                                     R"({"mode":"one_way","to_client":true})",
                                     R"({"mode":"one_way","to_client":false})",
                                     R"({"mode":"cut","after_bytes":200})",
                                     R"({"mode":"freeze"})"};
        return faults[this->random.below(faults.size())];
    }

    auto disturb(proxy_process& link) -> core::milliseconds
    {
        link.set_fault(this->world, this->random_fault());
        const auto time = this->duration();
        this->later(time, [this, &link]() {
            link.set_fault(this->world, R"({"mode":"pass"})");
        });
        return time;
    }

    auto disturb_store_link() -> void
    {
        auto& node = this->any_node();
        this->excuse(node, this->disturb(node.store_link()));
    }

    auto disturb_upstream_link() -> void
    {
        auto chosen = this->proxies.begin();
        std::advance(chosen, this->random.below(this->proxies.size()));
        const auto& service =
            this->world.upstreams.at(chosen->first)->service();
        const auto now = this->world.clock.now();
        const auto time = this->disturb(*chosen->second);
        this->stream_checks.disturb_service(service, now,
                                            now + time + latest_restore);
    }

    auto any_upstream() -> gateway_world::fake_upstream&
    {
        auto chosen = this->world.upstreams.begin();
        std::advance(chosen, this->random.below(this->world.upstreams.size()));
        return *chosen->second;
    }

    auto disturb_upstream() -> void
    {
        static const auto modes = std::vector<upstream_mode>{
            upstream_mode::hangs, upstream_mode::aborts_answers,
            upstream_mode::rejects_all};
        auto& upstream = this->any_upstream();
        const auto mode = modes[this->random.below(modes.size())];
        this->disturb(upstream, this->set_mode(upstream, mode));
    }

    auto break_streams() -> void
    {
        static const auto modes =
            std::array{upstream_mode::aborts_between_events,
                       upstream_mode::ends_within_event,
                       upstream_mode::fails_resumed_streams};
        const auto models = this->models();
        auto& upstream = *models[this->random.below(models.size())];
        const auto mode = modes[this->random.below(modes.size())];
        this->disturb(upstream, this->set_mode(upstream, mode));
    }

    auto models() -> std::vector<gateway_world::fake_upstream*>
    {
        auto found = std::vector<gateway_world::fake_upstream*>();
        for (const auto& [id, upstream] : this->world.upstreams) {
            if (upstream->service() == "model") {
                found.push_back(upstream.get());
            }
        }
        return found;
    }

    /// \return How long the mode lasts.
    auto set_mode(gateway_world::fake_upstream& upstream, upstream_mode mode)
        -> core::milliseconds
    {
        const auto id = upstream.id();
        const auto time = this->duration();
        upstream.set_mode(mode);
        this->later(time, [this, id]() {
            const auto found = this->world.upstreams.find(id);
            if (found != this->world.upstreams.end()) {
                found->second->set_mode(upstream_mode::works);
            }
        });
        return time;
    }

    /// A sound upstream may be silent in the middle of a stream and go on.
    auto pause_streams() -> void
    {
        for (auto* upstream : this->models()) {
            if (!this->is_proxied(*upstream)) {
                upstream->set_silence(core::milliseconds(
                    1000 + this->silence_random.below(2001)));
                this->set_mode(*upstream, upstream_mode::pauses_streams);
            }
        }
    }

    /// A sound upstream may do nothing for a while and go on. The streams that
    /// it has or gets then are no exception to the checks.
    auto stand_still() -> void
    {
        auto models = this->models();
        std::erase_if(models, [this](const auto* upstream) {
            return this->is_proxied(*upstream);
        });
        auto& upstream = *models[this->silence_random.below(models.size())];
        const auto id = upstream.id();
        upstream.stand_still();
        const auto time =
            core::milliseconds(500 + this->silence_random.below(2001));
        this->later(time, [this, id]() {
            const auto found = this->world.upstreams.find(id);
            if (found != this->world.upstreams.end()) {
                found->second->go_on();
            }
        });
    }

    /// A faulty upstream of a stage sends its answers again, late.
    auto send_copies() -> void
    {
        static const auto names =
            std::array{"feed-a", "feed-b", "map-a", "map-b"};
        const auto* name = names[this->answer_random.below(names.size())];
        const auto found = this->world.upstreams.find(name);
        const auto time = this->answer_time();
        if (found != this->world.upstreams.end()) {
            this->disturb(*found->second, time);
            found->second->set_mode(upstream_mode::repeats_stage_answers);
        }
        this->later(time, [this, name]() {
            const auto open = this->world.upstreams.find(name);
            if (open != this->world.upstreams.end()) {
                open->second->set_mode(upstream_mode::works);
            }
        });
    }

    /// A faulty upstream answers requests that it has run with a status that
    /// refuses them.
    auto refuse_after_run() -> void
    {
        static constexpr auto statuses = std::array{408, 429, 503};
        auto chosen = this->world.upstreams.begin();
        std::advance(chosen,
                     this->answer_random.below(this->world.upstreams.size()));
        const auto time = this->answer_time();
        this->disturb(*chosen->second, time);
        chosen->second->set_failure_status(
            statuses[this->answer_random.below(statuses.size())]);
        this->later(time, [this, id = chosen->first]() {
            const auto open = this->world.upstreams.find(id);
            if (open != this->world.upstreams.end()) {
                open->second->set_failure_status(0);
            }
        });
    }

    auto answer_time() -> core::milliseconds
    {
        return core::milliseconds(500 + this->answer_random.below(2001));
    }

    auto set_any_framing(gateway_world::fake_upstream& upstream) -> void
    {
        static const auto framings =
            std::array{answer_framing::chunks, answer_framing::length,
                       answer_framing::connection};
        const auto framing = framings[this->random.below(framings.size())];
        if (!this->is_proxied(upstream)) {
            upstream.set_framing(framing);
        }
    }

    /// Proxies discard bytes in the middle of a connection, as TCP never does,
    /// so that streams through them always have chunks and no long pauses.
    [[nodiscard]] auto
    is_proxied(const gateway_world::fake_upstream& upstream) const -> bool
    {
        return this->proxies.contains(upstream.id());
    }

    auto replace_upstream() -> void
    {
        const auto& old = this->any_upstream();
        const auto id = old.id();
        // Requests that it has not read yet would be lost without a record, so
        // that the check could not tell whose streams the crash disturbs.
        if (this->is_proxied(old) || old.is_standing_still()) {
            return;
        }
        this->disturb(old, core::milliseconds(0));
        const auto service = old.service();
        const auto zone = old.zone();
        this->set_any_framing(
            this->world.add_upstream(id + "x", service, zone));
        this->world.crash_upstream(id);
    }

    auto change_config() -> void
    {
        this->keys.push_back("key" + std::to_string(this->keys.size()));
        this->world.put_config(this->keys);
    }

    auto evacuate_zone() -> void
    {
        this->world.store.put("evacuations", "b", {});
        this->later(this->duration(),
                    [this]() { this->world.store.remove("evacuations", "b"); });
    }

    auto heal() -> void
    {
        this->due.clear();
        this->world.store.set_mode(store_mode::serves);
        this->world.store.remove("evacuations", "b");
        for (auto& [id, upstream] : this->world.upstreams) {
            upstream->set_mode(upstream_mode::works);
            upstream->set_failure_status(0);
            upstream->go_on();
        }
        for (auto& [name, link] : this->proxies) {
            link->set_fault(this->world, R"({"mode":"pass"})");
        }
        for (auto& node : this->nodes) {
            node->store_link().set_fault(this->world, R"({"mode":"pass"})");
            node->signal(SIGCONT);
        }
    }

    /// Every node serves every kind, with the newest key.
    auto await_recovery() -> void
    {
        const auto end = this->world.clock.now() + recovery_bound;
        for (auto& node : this->nodes) {
            for (const auto& path : paths) {
                auto is_served = false;
                while (!is_served && this->world.clock.now() < end) {
                    this->restart(*node);
                    const auto& record = this->caller.call(node->front(), path,
                                                           this->keys.back());
                    this->limit_checks.on_request(record.id, node.get());
                    this->world.run_until(
                        [&record]() { return record.is_done; },
                        core::milliseconds(3500));
                    is_served = record.status == 200 && record.is_complete;
                    if (!is_served) {
                        this->world.run_for(core::milliseconds(50));
                    }
                }
                if (!is_served) {
                    this->found.push_back("not served again: " + path + " at " +
                                          core::to_text(node->front()));
                }
            }
        }
    }

    auto check_evacuation() -> void
    {
        this->world.store.put("evacuations", "b", {});
        this->world.run_for(core::milliseconds(1500));
        const auto before = this->world.journal.runs.size();
        for (auto& node : this->nodes) {
            const auto& record =
                this->caller.call(node->front(), "book", this->keys.back());
            this->caller.wait(record);
        }
        const auto& runs = this->world.journal.runs;
        for (auto index = before; index < runs.size(); ++index) {
            const auto at = this->world.upstreams.find(runs[index].upstream);
            if (at != this->world.upstreams.end() &&
                at->second->zone() == "b") {
                this->found.push_back("sent to an evacuated zone: " +
                                      runs[index].request);
            }
        }
    }

    [[nodiscard]] auto are_calls_done() const -> bool
    {
        const auto& records = this->caller.records();
        return std::all_of(records.begin(), records.end(),
                           [](const auto& call) { return call->is_done; });
    }

    auto faults() -> std::vector<std::string>
    {
        auto all = this->caller.violations();
        all.insert(all.end(), this->found.begin(), this->found.end());
        for (const auto& call : this->sent) {
            if (!call.record->is_done) {
                all.push_back("no end of " + call.record->id);
            }
        }
        const auto over_limit = this->limit_checks.violations(
            this->world.journal, this->limits, this->limits_bind_from);
        all.insert(all.end(), over_limit.begin(), over_limit.end());
        const auto broken_streams =
            this->stream_checks.violations(this->world.journal);
        all.insert(all.end(), broken_streams.begin(), broken_streams.end());
        return all;
    }

    gateway_world::world world;
    gateway_world::world_caller caller{world};
    core::random_source random;
    /// Apart from the other, so that a seed draws the same faults as without
    /// these silences.
    core::random_source silence_random;
    /// The same for faulty answers.
    core::random_source answer_random;
    std::map<std::string, double> limits;
    core::time_point limits_bind_from;
    limit_check limit_checks;
    stream_check stream_checks;
    std::string folder;
    std::map<std::string, std::unique_ptr<proxy_process>> proxies;
    std::vector<std::unique_ptr<node_process>> nodes;
    std::vector<std::string> keys{"key"};
    std::vector<sent_call> sent;
    std::vector<delayed> due;
    std::vector<std::string> found;
};

auto expect_no_faults(std::uint64_t seed,
                      const std::map<std::string, double>& limits) -> void
{
    auto run = soak_run(seed, limits);
    const auto faults = run.run();
    EXPECT_EQ(faults, std::vector<std::string>())
        << "seed " << seed << ", logs in " << run.log_folder();
    EXPECT_GT(run.successes(), run.requests() / 4) << "seed " << seed;
    std::cout << "seed " << seed << ": " << run.successes() << " of "
              << run.requests() << " requests served, "
              << run.undisturbed_streams() << " undisturbed streams"
              << std::endl;
    if (faults.empty()) {
        std::filesystem::remove_all(run.log_folder());
    }
}

TEST(fault_soak, keeps_what_must_hold_under_random_faults)
{
    for (const auto seed : seeds(regression_seeds)) {
        expect_no_faults(seed, {});
    }
}

// Owners are killed, paused and stopped while two upstreams, whose links to the
// nodes are disturbed as well, state request limits.
TEST(fault_soak, request_limits_hold_under_random_faults)
{
    constexpr auto rates = std::array{0.25, 0.5, 1.0, 1.3};
    for (const auto seed : seeds(limit_seeds)) {
        expect_no_faults(seed,
                         {{"desk-a", rates[seed % rates.size()]},
                          {"model1-a", rates[(seed + 1) % rates.size()]}});
    }
}

} // namespace
} // namespace almondtiller::soak
