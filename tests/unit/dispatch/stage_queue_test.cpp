#include "dispatch/stage_queue.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace almondtiller::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr auto large = std::uint64_t(3000000);
constexpr auto small = std::uint64_t(8000);

/// The users' stage service with the slowest pieces: 150 ms per call and 16 ms
/// per piece, eight pieces per call, room for 14 large results.
auto slow_stage_pool() -> serving::stage_pool
{
    auto pool = serving::stage_pool();
    pool.batch = 8;
    pool.call_time = milliseconds(150);
    pool.item_time = milliseconds(16);
    pool.room_bytes = 43000000;
    pool.result_life = std::chrono::seconds(4);
    return pool;
}

auto upstream(const std::string& name, const std::string& zone)
    -> stage_upstream
{
    return {core::upstream_id(name), {"127.0.0.1", 80}, core::zone_name(zone)};
}

class stage_queue_test : public testing::Test
{
protected:
    stage_queue_test()
    {
        this->queue.set_upstreams(
            {upstream("a", "za"), upstream("b", "zb"), upstream("c", "zc")});
    }

    auto work(std::uint64_t ticket, std::size_t pieces,
              core::duration until_due, const std::string& zone = "za")
        -> stage_work
    {
        auto made = stage_work();
        made.ticket = ticket;
        for (auto piece = std::size_t(0); piece < pieces; ++piece) {
            auto item = serving::stage_item();
            item.request = core::request_id(std::to_string(ticket));
            item.piece = std::uint32_t(piece);
            made.items.push_back(item);
        }
        made.due = this->now + until_due;
        made.deadline = this->now + until_due + std::chrono::seconds(4);
        made.zone = core::zone_name(zone);
        made.result_bytes = small;
        return made;
    }

    auto results(const stage_call& call) -> std::vector<serving::stage_result>
    {
        auto made = std::vector<serving::stage_result>();
        for (auto index = std::size_t(0); index < call.items.size(); ++index) {
            made.push_back({"127.0.0.1:80/" + std::to_string(++this->handles),
                            serving::stage_failure::none});
        }
        return made;
    }

    /// Takes calls for idle upstreams until there are no more.
    /// \return The calls.
    auto take_calls() -> std::vector<stage_call>
    {
        auto calls = std::vector<stage_call>();
        while (auto call = this->queue.next_call(this->now)) {
            calls.push_back(std::move(*call));
        }
        return calls;
    }

    struct replay_result
    {
        int on_time = 0;
        int rejected = 0;
        /// Requests rejected more than a second after their due time.
        int rejected_late = 0;
        /// Longest time from a due time to the rejection.
        core::duration longest{0};
    };

    /// Submits requests at an even rate for five seconds, with upstreams that
    /// take the configured times; runs for two more seconds until all are done.
    auto replay(core::duration gap, std::size_t pieces) -> replay_result
    {
        struct running
        {
            stage_call call;
            core::time_point end;
        };
        auto result = replay_result();
        auto active = std::vector<running>();
        auto dues = std::map<std::uint64_t, core::time_point>();
        const auto count = [&](const stage_effects& effects) {
            for (const auto& outcome : effects.outcomes) {
                const auto since_due = this->now - dues[outcome.ticket];
                if (outcome.status == stage_status::done) {
                    result.on_time += since_due <= core::duration(0) ? 1 : 0;
                    for (const auto& handle : outcome.handles) {
                        this->queue.on_result_freed(handle);
                    }
                    continue;
                }
                ++result.rejected;
                result.rejected_late += since_due > milliseconds(1000) ? 1 : 0;
                result.longest = std::max(result.longest, since_due);
            }
        };
        const auto start = this->now;
        auto ticket = std::uint64_t(0);
        auto next_arrival = start;
        while (this->now < start + std::chrono::seconds(7)) {
            if (this->now >= next_arrival &&
                this->now < start + std::chrono::seconds(5)) {
                auto made = this->work(++ticket, pieces, milliseconds(900));
                dues[ticket] = made.due;
                result.rejected += this->queue.submit(made, this->now) ? 1 : 0;
                next_arrival += gap;
            }
            for (auto index = active.size(); index-- > 0;) {
                if (active[index].end <= this->now) {
                    const auto done = std::move(active[index]);
                    active.erase(active.begin() + std::ptrdiff_t(index));
                    count(this->queue.on_results(
                        done.call.id, this->results(done.call), this->now));
                }
            }
            count(this->queue.on_tick(this->now));
            for (auto& call : this->take_calls()) {
                const auto time = std::chrono::duration_cast<core::duration>(
                    slow_stage_pool().call_time +
                    slow_stage_pool().item_time * double(call.items.size()));
                active.push_back({std::move(call), this->now + time});
            }
            this->now += milliseconds(1);
        }
        return result;
    }

    auto restart() -> void
    {
        this->queue = stage_queue(slow_stage_pool());
        this->queue.set_upstreams(
            {upstream("a", "za"), upstream("b", "zb"), upstream("c", "zc")});
    }

    stage_queue queue{slow_stage_pool()};
    core::time_point now{std::chrono::hours(1)};
    std::uint64_t handles = 0;
};

TEST_F(stage_queue_test, an_idle_upstream_starts_at_once)
{
    ASSERT_FALSE(
        this->queue.submit(this->work(1, 3, milliseconds(900)), this->now));
    const auto calls = this->take_calls();
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].items.size(), 3U);
    const auto effects = this->queue.on_results(
        calls[0].id, this->results(calls[0]), this->now + milliseconds(200));
    ASSERT_EQ(effects.outcomes.size(), 1U);
    EXPECT_EQ(effects.outcomes[0].status, stage_status::done);
    EXPECT_EQ(effects.outcomes[0].handles.size(), 3U);
}

TEST_F(stage_queue_test, fills_calls_with_pieces_of_many_requests)
{
    for (auto ticket = 1U; ticket <= 3; ++ticket) {
        this->queue.submit(this->work(ticket, 8, milliseconds(900)), this->now);
    }
    const auto busy = this->take_calls();
    ASSERT_EQ(busy.size(), 3U);
    for (auto ticket = 4U; ticket <= 7; ++ticket) {
        this->queue.submit(this->work(ticket, 2, milliseconds(900)), this->now);
    }
    this->now += milliseconds(280);
    this->queue.on_results(busy[0].id, this->results(busy[0]), this->now);
    const auto next = this->take_calls();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].items.size(), 8U);
}

TEST_F(stage_queue_test, large_results_are_made_where_they_are_read)
{
    auto first = this->work(1, 2, milliseconds(900), "zb");
    first.result_bytes = large;
    first.transfer_bytes = large;
    auto second = this->work(2, 2, milliseconds(901), "zc");
    second.result_bytes = large;
    second.transfer_bytes = large;
    this->queue.submit(first, this->now);
    this->queue.submit(second, this->now);
    const auto calls = this->take_calls();
    ASSERT_EQ(calls.size(), 2U);
    EXPECT_EQ(calls[0].upstream.zone.str(), "zb");
    EXPECT_EQ(calls[1].upstream.zone.str(), "zc");
}

// Load pattern: a calm day, on which an idle upstream of another zone would
// take a large result that its own zone makes in time, and megabytes would
// cross zones.
TEST_F(stage_queue_test, large_results_wait_for_their_zone_while_on_time)
{
    auto made = this->work(1, 2, milliseconds(900), "zb");
    made.result_bytes = large;
    made.transfer_bytes = large;
    this->queue.submit(made, this->now);
    const auto first = this->take_calls();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].upstream.zone.str(), "zb");
    auto waiting = this->work(2, 2, milliseconds(1200), "zb");
    waiting.result_bytes = large;
    waiting.transfer_bytes = large;
    this->queue.submit(waiting, this->now);
    EXPECT_TRUE(this->take_calls().empty());
    auto urgent = this->work(3, 2, milliseconds(250), "zb");
    urgent.result_bytes = large;
    urgent.transfer_bytes = large;
    this->queue.submit(urgent, this->now);
    const auto elsewhere = this->take_calls();
    ASSERT_EQ(elsewhere.size(), 1U);
    EXPECT_NE(elsewhere[0].upstream.zone.str(), "zb");
    EXPECT_EQ(elsewhere[0].items[0].request.str(), "3");
}

TEST_F(stage_queue_test, never_makes_more_results_than_there_is_room_for)
{
    this->queue.set_upstreams({upstream("a", "za")});
    for (auto ticket = 1U; ticket <= 3; ++ticket) {
        auto made = this->work(ticket, 8, std::chrono::seconds(3));
        made.result_bytes = large;
        made.transfer_bytes = large;
        this->queue.submit(made, this->now);
    }
    auto kept = std::vector<std::string>();
    for (auto expected : {8U, 6U}) {
        const auto calls = this->take_calls();
        ASSERT_EQ(calls.size(), 1U);
        EXPECT_EQ(calls[0].items.size(), expected);
        const auto made = this->results(calls[0]);
        for (const auto& result : made) {
            kept.push_back(result.handle);
        }
        this->now += milliseconds(280);
        this->queue.on_results(calls[0].id, made, this->now);
    }
    EXPECT_TRUE(this->take_calls().empty());
    this->queue.on_result_freed(kept[0]);
    const auto calls = this->take_calls();
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].items.size(), 1U);
}

// Load pattern: the service has a new owner without a record of the results
// that were made before. These end one after the other, and a call with one
// piece takes nearly as long as a full one.
TEST_F(stage_queue_test, a_result_without_room_does_not_shrink_later_calls)
{
    this->queue.set_upstreams({upstream("a", "za")});
    for (auto ticket = 1U; ticket <= 2; ++ticket) {
        auto made = this->work(ticket, 8, std::chrono::seconds(3));
        made.result_bytes = large;
        made.transfer_bytes = large;
        this->queue.submit(made, this->now);
    }
    const auto calls = this->take_calls();
    auto answers = this->results(calls[0]);
    for (auto index = std::size_t(2); index < answers.size(); ++index) {
        answers[index] = {"", serving::stage_failure::no_room};
    }
    this->now += milliseconds(280);
    this->queue.on_results(calls[0].id, answers, this->now);
    const auto next = this->take_calls();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].items.size(), 8U);
}

// Load pattern: a burst of one kind at 2.4 times the usual rate while an
// upstream is lost. Work that cannot be on time any more must not delay work
// that can.
TEST_F(stage_queue_test, work_that_is_late_anyway_waits_for_work_on_time)
{
    this->queue.set_upstreams({upstream("a", "za")});
    this->queue.submit(this->work(1, 8, milliseconds(900)), this->now);
    const auto busy = this->take_calls();
    this->queue.submit(this->work(2, 8, milliseconds(100)), this->now);
    this->queue.submit(this->work(3, 8, milliseconds(800)), this->now);
    this->now += milliseconds(280);
    this->queue.on_results(busy[0].id, this->results(busy[0]), this->now);
    const auto next = this->take_calls();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].items[0].request.str(), "3");
}

TEST_F(stage_queue_test, rejects_at_once_work_that_cannot_be_done_in_time)
{
    this->queue.set_upstreams({upstream("a", "za")});
    auto accepted = 0;
    for (auto ticket = 1U; ticket <= 30; ++ticket) {
        const auto rejection = this->queue.submit(
            this->work(ticket, 8, milliseconds(400)), this->now);
        if (!rejection) {
            ++accepted;
            continue;
        }
        EXPECT_EQ(rejection->status, stage_status::rejected);
        EXPECT_GT(rejection->retry_after, milliseconds(1000));
    }
    EXPECT_GE(accepted, 14) << "4.4 s hold 15 calls of 278 ms";
    EXPECT_LE(accepted, 15);
    EXPECT_TRUE(
        this->queue.submit(this->work(99, 8, milliseconds(400)), this->now));
}

// Load pattern: one request states far more pieces than all upstreams can do
// until its deadline. Guards against work that fills the queue and their time.
TEST_F(stage_queue_test, rejects_at_once_work_of_too_many_pieces)
{
    const auto rejection =
        this->queue.submit(this->work(1, 400, milliseconds(400)), this->now);
    ASSERT_TRUE(rejection) << "4.4 s hold 47 calls of 8 pieces";
    EXPECT_EQ(rejection->status, stage_status::rejected);
    EXPECT_EQ(this->queue.waiting_pieces(), 0U);
    EXPECT_FALSE(
        this->queue.submit(this->work(2, 360, milliseconds(400)), this->now));
}

// Load pattern: upstreams are lost while much work waits. Work that cannot
// begin before its deadline is rejected at once, not when its deadline passes.
TEST_F(stage_queue_test, rejects_waiting_work_once_it_cannot_begin_in_time)
{
    for (auto ticket = 1U; ticket <= 40; ++ticket) {
        EXPECT_FALSE(this->queue.submit(
            this->work(ticket, 8, milliseconds(900)), this->now));
    }
    EXPECT_TRUE(this->queue.on_tick(this->now).outcomes.empty());
    this->queue.set_upstreams({upstream("a", "za")});
    const auto effects = this->queue.on_tick(this->now);
    EXPECT_GT(effects.outcomes.size(), 10U);
    for (const auto& outcome : effects.outcomes) {
        EXPECT_EQ(outcome.status, stage_status::rejected);
        EXPECT_GT(outcome.ticket, 10U) << "the first can still be done";
    }
}

TEST_F(stage_queue_test, pieces_of_an_overdue_call_go_to_another_upstream)
{
    this->queue.submit(this->work(1, 2, milliseconds(900)), this->now);
    const auto first = this->take_calls();
    ASSERT_EQ(first.size(), 1U);
    this->now += milliseconds(700);
    this->queue.on_tick(this->now);
    const auto second = this->take_calls();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].upstream.id, first[0].upstream.id);
    this->now += milliseconds(180);
    const auto done = this->queue.on_results(
        second[0].id, this->results(second[0]), this->now);
    EXPECT_EQ(done.outcomes.size(), 1U);
    // The results of the first call come too late to be used.
    const auto late =
        this->queue.on_results(first[0].id, this->results(first[0]), this->now);
    EXPECT_TRUE(late.outcomes.empty());
    EXPECT_EQ(late.unused_results.size(), 2U);
}

TEST_F(stage_queue_test, a_failed_call_is_retried_at_another_upstream)
{
    this->queue.submit(this->work(1, 2, milliseconds(900)), this->now);
    const auto first = this->take_calls();
    this->queue.on_call_failed(first[0].id, false, this->now);
    const auto second = this->take_calls();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].upstream.id, first[0].upstream.id);
}

TEST_F(stage_queue_test, results_of_cancelled_work_are_unwanted)
{
    this->queue.submit(this->work(1, 2, milliseconds(900)), this->now);
    const auto calls = this->take_calls();
    this->queue.cancel(1);
    const auto effects =
        this->queue.on_results(calls[0].id, this->results(calls[0]), this->now);
    EXPECT_TRUE(effects.outcomes.empty());
    EXPECT_EQ(effects.unused_results.size(), 2U);
}

TEST_F(stage_queue_test, a_lost_input_ends_the_work)
{
    this->queue.submit(this->work(1, 2, milliseconds(900)), this->now);
    const auto calls = this->take_calls();
    auto answers = this->results(calls[0]);
    answers[1] = {"", serving::stage_failure::input_lost};
    const auto effects =
        this->queue.on_results(calls[0].id, answers, this->now);
    ASSERT_EQ(effects.outcomes.size(), 1U);
    EXPECT_EQ(effects.outcomes[0].status, stage_status::input_lost);
    EXPECT_EQ(effects.unused_results.size(), 1U);
}

// Replays a burst: 2.4 times the calm load for five seconds. With calls that
// carry the pieces of one request only, the service could do 15 requests a
// second.
TEST_F(stage_queue_test, sustains_a_burst_with_calls_of_several_requests)
{
    const auto result = this->replay(milliseconds(40), 3);
    EXPECT_GE(result.on_time, 120) << "of 125 requests, 25 a second";
}

// Load pattern: more urgent work than the upstreams can do arrives for five
// seconds. Work that has become late is overtaken by all work that arrives
// after it. It is rejected then and does not wait until its deadline.
TEST_F(stage_queue_test, rejects_work_that_a_lasting_burst_overtakes)
{
    const auto result = this->replay(milliseconds(27), 4);
    EXPECT_GT(result.rejected, 20)
        << "37 requests a second, of which 21 can be served";
    EXPECT_LT(result.rejected_late * 10, result.rejected)
        << "the last waited "
        << std::chrono::duration_cast<milliseconds>(result.longest).count()
        << " ms after its due time";
}

// Load pattern: twice the capacity. If all work waited until it was just late,
// no request would be served on time. Goodput stays within 5 % of that at
// capacity.
TEST_F(stage_queue_test, serves_as_much_on_time_at_twice_the_capacity)
{
    // Three upstreams do 86 pieces a second.
    const auto at_capacity = this->replay(milliseconds(47), 4);
    this->restart();
    const auto at_double = this->replay(milliseconds(24), 4);
    EXPECT_GE(at_double.on_time * 100, at_capacity.on_time * 95)
        << at_double.on_time << " against " << at_capacity.on_time;
}

// Load pattern: slow upstreams under a burst. The estimated wait must grow with
// their slowness.
TEST_F(stage_queue_test, accepts_as_much_as_slow_upstreams_can_do)
{
    this->queue.set_upstreams({upstream("a", "za")});
    // Calls of 278 ms take 1,390 ms.
    for (auto round = 1U; round <= 12; ++round) {
        this->queue.submit(this->work(round, 8, std::chrono::seconds(3)),
                           this->now);
        for (const auto& call : this->take_calls()) {
            this->now += milliseconds(1390);
            this->queue.on_results(call.id, this->results(call), this->now);
        }
    }
    // Waits, so that this work does not count as a burst.
    this->now += std::chrono::seconds(10);
    constexpr auto first_ticket = std::uint64_t(100);
    auto accepted = std::uint64_t(0);
    while (accepted < 100 &&
           !this->queue.submit(
               this->work(first_ticket + accepted, 8, milliseconds(900)),
               this->now)) {
        ++accepted;
    }
    EXPECT_LE(accepted, 4U) << "4.9 s are left, each takes 1.4 s";
    EXPECT_GE(accepted, 2U);
}

// Load pattern: an upstream that was slow for some seconds is fast again while
// the other upstreams can just bear the load, so that overload never brings it
// back into use.
TEST_F(stage_queue_test, reuses_an_upstream_that_is_no_longer_slow)
{
    this->queue.set_upstreams({upstream("a", "za"), upstream("b", "za")});
    auto ticket = std::uint64_t(0);
    const auto submit_two_full_calls = [&]() {
        for (auto call = 0; call < 2; ++call) {
            this->queue.submit(this->work(++ticket, 8, std::chrono::seconds(3)),
                               this->now);
        }
        return this->take_calls();
    };
    const auto end = [&](const stage_call& call, core::duration time) {
        this->now += time;
        this->queue.on_results(call.id, this->results(call), this->now);
    };
    const auto first = submit_two_full_calls();
    ASSERT_EQ(first.size(), 2U);
    end(first[0], milliseconds(280));
    end(first[1], milliseconds(920));
    const auto beside_slow = submit_two_full_calls();
    ASSERT_EQ(beside_slow.size(), 1U)
        << "the other upstream was measured as slow";
    end(beside_slow[0], milliseconds(280));
    end(this->take_calls().at(0), milliseconds(280));

    this->now += milliseconds(1000);
    const auto again = submit_two_full_calls();
    ASSERT_EQ(again.size(), 2U) << "the slow upstream is tried again";
    end(again[0], milliseconds(280));
    end(again[1], milliseconds(0));
    EXPECT_EQ(submit_two_full_calls().size(), 2U) << "it was measured as fast";
}

RC_GTEST_PROP(stage_queue, ends_every_work_once,
              (std::vector<std::pair<std::uint8_t, std::uint8_t>> steps))
{
    auto queue = stage_queue(slow_stage_pool());
    queue.set_upstreams({upstream("a", "za"), upstream("b", "zb")});
    auto now = core::time_point(std::chrono::hours(1));
    auto open = std::set<std::uint64_t>();
    auto calls = std::vector<stage_call>();
    auto ticket = std::uint64_t(0);
    auto handle = std::uint64_t(0);
    const auto end = [&open](const stage_effects& effects) {
        for (const auto& outcome : effects.outcomes) {
            RC_ASSERT(open.erase(outcome.ticket) == 1);
        }
    };
    const auto step = [&](std::uint8_t kind, std::uint8_t size) {
        if (kind % 4 == 0) {
            auto work = stage_work();
            work.ticket = ++ticket;
            work.items.resize(1 + size % 12);
            work.due = now + milliseconds(size * 5);
            work.deadline = work.due + milliseconds(1500);
            work.result_bytes = size % 2 == 0 ? large : small;
            if (!queue.submit(work, now)) {
                open.insert(ticket);
            }
        } else if (kind % 4 == 1 && !calls.empty()) {
            const auto call = calls.front();
            calls.erase(calls.begin());
            if (size % 5 == 0) {
                end(queue.on_call_failed(call.id, size % 2 == 0, now));
                return;
            }
            auto results = std::vector<serving::stage_result>();
            for (auto index = std::size_t(0); index < call.items.size();
                 ++index) {
                const auto text = "127.0.0.1:80/" + std::to_string(++handle);
                results.push_back(
                    size % 7 == 0
                        ? serving::stage_result{"",
                                                serving::stage_failure::no_room}
                        : serving::stage_result{text,
                                                serving::stage_failure::none});
                queue.on_result_freed(text);
            }
            end(queue.on_results(call.id, results, now));
        }
        now += milliseconds(size);
        end(queue.on_tick(now));
        while (auto call = queue.next_call(now)) {
            RC_ASSERT(call->items.size() <= 8U);
            calls.push_back(std::move(*call));
        }
    };
    for (const auto& [kind, size] : steps) {
        step(kind, size);
    }
    for (auto turn = 0; turn < 400 && !open.empty(); ++turn) {
        step(1, 51);
    }
    RC_ASSERT(open.empty());
}

// Load pattern: stage upstreams in need state fewer calls per second than their
// calls take, while work keeps arriving.
TEST_F(stage_queue_test, keeps_calls_within_an_upstreams_limit)
{
    auto limited = upstream("a", "za");
    limited.request_limit = 1.5;
    this->queue.set_upstreams({limited, upstream("b", "zb")});
    auto calls = std::map<std::string, int>();
    auto ticket = std::uint64_t(0);
    const auto end = this->now + std::chrono::seconds(4);
    for (; this->now < end; this->now += milliseconds(40)) {
        static_cast<void>(this->queue.submit(
            this->work(++ticket, 2, milliseconds(900)), this->now));
        for (const auto& call : this->take_calls()) {
            ++calls[call.upstream.id.str()];
            this->queue.on_results(call.id, this->results(call), this->now);
        }
    }
    EXPECT_GE(calls["a"], 5);
    EXPECT_LE(calls["a"], 7);
    EXPECT_GT(calls["b"], 50);
}

TEST_F(stage_queue_test, rejects_at_once_what_limits_leave_no_time_for)
{
    auto limited = upstream("a", "za");
    limited.request_limit = 0.5;
    this->queue.set_upstreams({limited});
    auto accepted = 0;
    for (auto ticket = 1U; ticket <= 20; ++ticket) {
        const auto rejection = this->queue.submit(
            this->work(ticket, 8, milliseconds(900)), this->now);
        accepted += rejection ? 0 : 1;
        if (rejection) {
            EXPECT_GT(rejection->retry_after, milliseconds(2000));
        }
    }
    // A call takes eight pieces, and three calls are accepted in the 4.9 s
    // until the deadline.
    EXPECT_GE(accepted, 2);
    EXPECT_LE(accepted, 4);
}

} // namespace
} // namespace almondtiller::dispatch
