#include "claims/claims.h"
#include "fakes/model_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>

namespace almondtiller::claims {

namespace {

constexpr auto node_count = 3U;
constexpr auto key_count = 4U;
constexpr auto step_count = 400;
constexpr auto settle_steps = 3000;

/// Model of three nodes that share one bucket. Callers send requests with the
/// same idempotency keys to any node; nodes restart and store calls fail.
class claims_model
{
public:
    explicit claims_model(std::uint64_t seed) : random(seed), store(seed + 1)
    {
        for (auto index = 0U; index < node_count; ++index) {
            this->start(index);
        }
    }

    auto run() -> void
    {
        for (auto step = 0; step < step_count; ++step) {
            this->now += core::milliseconds(this->random.below(20));
            this->step();
        }
        this->settle();
    }

private:
    struct node
    {
        std::optional<claim_bucket> bucket;
        std::deque<bucket_action> calls;
        std::uint64_t incarnation = 0;
    };

    struct execution
    {
        unsigned node_index = 0;
        std::uint64_t incarnation = 0;
        claim_record record;
    };

    [[nodiscard]] auto at() const -> moment
    {
        return {this->now,
                1'000'000 + this->now.time_since_epoch().count() / 1'000'000};
    }

    static auto node_name(unsigned index) -> std::string
    {
        return "n" + std::to_string(index);
    }

    auto start(unsigned index) -> void
    {
        auto& started = this->nodes[index];
        ++started.incarnation;
        auto environment = bucket_environment();
        environment.is_holder_alive = [this](const claim_record& record,
                                             const moment&) {
            const auto holder = std::stoul(record.node.substr(1));
            return this->nodes[unsigned(holder)].incarnation ==
                   record.incarnation;
        };
        environment.retention = core::milliseconds(100'000'000);
        environment.retry_pause = core::milliseconds(50);
        environment.max_value_bytes = 1'000'000;
        environment.write_interval = core::milliseconds(30);
        started.bucket.emplace(environment);
        started.calls.clear();
    }

    auto step() -> void
    {
        const auto index = unsigned(this->random.below(node_count));
        auto& chosen = this->nodes[index];
        switch (this->random.below(10)) {
        case 0:
        case 1:
        case 2:
            this->want(index);
            break;
        case 3:
        case 4:
        case 5:
        case 6:
            this->complete_call(index);
            break;
        case 7:
            this->finish_one(index);
            break;
        case 8:
            this->handle(index, chosen.bucket->advance(this->at()));
            break;
        default:
            if (this->random.below(12) == 0) {
                this->start(index);
            }
        }
    }

    auto want(unsigned index) -> void
    {
        const auto claim = "c" + std::to_string(++this->claim_counter);
        const auto key = "k" + std::to_string(this->random.below(key_count));
        this->key_of[claim] = key;
        const auto wanted = claim_wanted{
            claim,
            key,
            "f" + key,
            node_name(index),
            this->nodes[index].incarnation,
            this->now + core::milliseconds(20 + this->random.below(300))};
        this->handle(index,
                     this->nodes[index].bucket->want(wanted, this->at()));
    }

    auto complete_call(unsigned index) -> void
    {
        auto& chosen = this->nodes[index];
        if (chosen.calls.empty()) {
            return;
        }
        const auto call = chosen.calls.front();
        chosen.calls.pop_front();
        if (const auto* write = std::get_if<write_bucket>(&call)) {
            const auto answer =
                this->store.write(write->expected, write->value);
            this->handle(index, chosen.bucket->was_written(answer, this->at()));
        } else {
            const auto answer = this->store.read();
            this->handle(index, chosen.bucket->was_read(answer, this->at()));
        }
    }

    auto finish_one(unsigned index) -> void
    {
        auto& chosen = this->nodes[index];
        for (auto entry = this->running.begin(); entry != this->running.end();
             ++entry) {
            if (entry->second.node_index != index ||
                entry->second.incarnation != chosen.incarnation) {
                continue;
            }
            const auto key = entry->first;
            auto record = entry->second.record;
            this->running.erase(entry);
            this->end(key, record);
            this->handle(index, chosen.bucket->finish(key, record, this->at()));
            return;
        }
    }

    /// Chooses at random how an execution ends: completed, unknown or not run.
    auto end(const std::string& key, claim_record& record) -> void
    {
        const auto kind = this->random.below(3);
        if (kind == 0) {
            record.state = claim_state::completed;
            record.answer = "answer of " + record.claim;
            this->answers[key] = record.answer;
        } else if (kind == 1) {
            record.state = claim_state::unknown;
        } else {
            this->executed.erase(key);
        }
    }

    auto handle(unsigned index, const bucket_actions& actions) -> void
    {
        for (const auto& action : actions) {
            if (const auto* decided = std::get_if<claim_decided>(&action)) {
                this->decide(index, *decided);
            } else if (!std::holds_alternative<end_recorded>(action)) {
                this->nodes[index].calls.push_back(action);
            }
        }
    }

    auto decide(unsigned index, const claim_decided& decided) -> void
    {
        RC_ASSERT(this->decided.insert(decided.claim).second);
        if (decided.error) {
            return;
        }
        const auto key = this->key_of.at(decided.claim);
        if (decided.verdict == claim_verdict::granted) {
            RC_ASSERT(this->executed.insert(key).second);
            this->running[key] = {index, this->nodes[index].incarnation,
                                  decided.record};
        }
        if (decided.verdict == claim_verdict::replayed) {
            RC_ASSERT(this->answers.contains(key));
            RC_ASSERT(decided.record.answer == this->answers.at(key));
        }
    }

    /// Checks that, once store calls no longer fail, every claim is decided and
    /// every end is recorded.
    auto settle() -> void
    {
        this->store.failure_share = 0;
        this->store.late_share = 0;
        this->store.lost_share = 0;
        for (auto step = 0; step < settle_steps; ++step) {
            this->now += core::milliseconds(5);
            for (auto index = 0U; index < node_count; ++index) {
                auto& each = this->nodes[index];
                this->complete_call(index);
                this->handle(index, each.bucket->advance(this->at()));
            }
        }
        for (auto& each : this->nodes) {
            RC_ASSERT(each.second.bucket->pending() == 0U);
        }
    }

    core::random_source random;
    fakes::model_store store;
    core::time_point now;
    std::map<unsigned, node> nodes;
    std::uint64_t claim_counter = 0;
    std::map<std::string, std::string> key_of;
    std::set<std::string> decided;
    std::set<std::string> executed;
    std::map<std::string, execution> running;
    std::map<std::string, std::string> answers;
};

} // namespace

RC_GTEST_PROP(claim_bucket_property,
              executes_a_key_at_most_once_over_nodes_and_lost_answers, ())
{
    claims_model(*rc::gen::arbitrary<std::uint64_t>()).run();
}

} // namespace almondtiller::claims
