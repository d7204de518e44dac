#include "dispatch/prompt_quarantine.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace almondtiller::dispatch {

namespace {

/// Crashes after which a part is quarantined if no answer with it is known.
constexpr auto conclusive_crashes = std::size_t(3);
/// The same for a part with which answers have begun before. Upstreams may
/// crash one after the other for another reason, so the time without an answer
/// counts as well.
constexpr auto conclusive_crashes_if_answered = std::size_t(5);
constexpr auto conclusive_silence = std::chrono::seconds(10);
/// Nodes report a crash separately, each with its own requests. An upstream
/// takes longer than this to return.
constexpr auto same_crash_period = core::milliseconds(1500);
constexpr auto max_crashes = std::size_t(64);
constexpr auto max_requests = std::size_t(256);
constexpr auto crash_retention = std::chrono::minutes(30);
constexpr auto quarantine_time = std::chrono::minutes(5);
/// Nodes end a quarantine at different times. Those where it has ended must not
/// adopt it again from the others.
constexpr auto release_retention = std::chrono::minutes(10);
constexpr auto max_entries = std::size_t(64);
constexpr auto max_answers = std::size_t(4096);

auto distance(core::time_point left, core::time_point right) -> core::duration
{
    return std::max(left, right) - std::min(left, right);
}

} // namespace

auto shared_parts(const std::vector<serving::prompt_part>& prompt)
    -> part_hashes
{
    auto parts = part_hashes();
    for (auto index = std::size_t(1); index < prompt.size(); ++index) {
        parts.push_back(routing::placement_hash(prompt[index - 1].id));
    }
    return parts;
}

auto request_fingerprint(const serving::caller_request& request)
    -> std::uint64_t
{
    auto text = std::string();
    for (const auto* field : {&request.method, &request.host, &request.target,
                              &request.api_key, &request.body}) {
        text += std::to_string(field->size()) + ":" + *field;
    }
    return routing::placement_hash(text);
}

prompt_quarantine::prompt_quarantine(core::duration period)
    : common_cause_period(period)
{}

auto prompt_quarantine::answered_at(std::uint64_t part) const
    -> std::optional<core::time_point>
{
    for (const auto* known : {&this->answers, &this->older_answers}) {
        const auto found = known->find(part);
        if (found != known->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

auto prompt_quarantine::record_answer(std::uint64_t part, core::time_point at)
    -> void
{
    const auto before = this->answered_at(part);
    if (this->answers.size() >= max_answers) {
        this->older_answers = std::exchange(this->answers, {});
    }
    this->answers[part] = std::max(at, before.value_or(at));
}

auto prompt_quarantine::is_active(std::uint64_t part) const -> bool
{
    const auto found = this->entries.find(part);
    return found != this->entries.end() && found->second.is_active;
}

auto prompt_quarantine::record(const upstream_crash& crash) -> void
{
    const auto same = std::find_if(
        this->crashes.begin(), this->crashes.end(), [&](const auto& known) {
            return known.upstream == crash.upstream &&
                   distance(known.at, crash.at) < same_crash_period;
        });
    if (same == this->crashes.end()) {
        if (this->crashes.size() >= max_crashes) {
            this->crashes.pop_front();
        }
        this->crashes.push_back({crash});
        return;
    }
    same->is_undecided = true;
    const auto room =
        max_requests - std::min(same->requests.size(), max_requests);
    const auto count = std::min(room, crash.requests.size());
    same->requests.insert(same->requests.end(), crash.requests.begin(),
                          crash.requests.begin() + std::ptrdiff_t(count));
}

auto prompt_quarantine::is_explained(const upstream_crash& crash) const -> bool
{
    return std::any_of(
        crash.requests.begin(), crash.requests.end(), [this](const auto& item) {
            return std::any_of(item.begin(), item.end(),
                               [this](const auto& suspect) {
                                   return this->is_active(suspect.part);
                               });
        });
}

auto prompt_quarantine::count_crashes(std::uint64_t part) const -> std::size_t
{
    const auto answered = this->answered_at(part);
    const auto has_part = [part](const auto& request) {
        return std::any_of(
            request.begin(), request.end(),
            [part](const auto& suspect) { return suspect.part == part; });
    };
    auto count = std::size_t(0);
    auto last = std::optional<core::time_point>();
    for (const auto& crash : this->crashes) {
        const auto is_separate =
            !last || distance(crash.at, *last) >= this->common_cause_period;
        if (is_separate && (!answered || crash.at > *answered) &&
            std::any_of(crash.requests.begin(), crash.requests.end(),
                        has_part)) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

auto prompt_quarantine::is_conclusive(std::uint64_t part,
                                      core::time_point at) const -> bool
{
    const auto answered = this->answered_at(part);
    const auto count = this->count_crashes(part);
    return answered ? count >= conclusive_crashes_if_answered &&
                          at - *answered >= conclusive_silence
                    : count >= conclusive_crashes;
}

auto prompt_quarantine::choose(const upstream_crash& crash,
                               bool is_answered) const -> part_hashes
{
    auto chosen = std::set<std::uint64_t>();
    auto less_specific = std::set<std::uint64_t>();
    for (const auto& request : crash.requests) {
        // The later a part in the prompt, the fewer requests share it.
        auto has_chosen = false;
        auto is_undecided = false;
        for (auto item = request.rbegin(); item != request.rend(); ++item) {
            const auto part = item->part;
            if (this->answered_at(part).has_value() != is_answered) {
                continue;
            }
            const auto count = this->count_crashes(part);
            if (!this->is_conclusive(part, crash.at)) {
                // One more crash decides between this part and those before it.
                is_undecided = is_undecided || count + 1 == conclusive_crashes;
            } else if (has_chosen || (is_undecided &&
                                      count < conclusive_crashes_if_answered)) {
                less_specific.insert(part);
            } else {
                chosen.insert(part);
                has_chosen = true;
            }
        }
    }
    std::erase_if(chosen, [&less_specific](auto part) {
        return less_specific.contains(part);
    });
    return {chosen.begin(), chosen.end()};
}

auto prompt_quarantine::on_crash(const upstream_crash& crash) -> void
{
    for (const auto& request : crash.requests) {
        for (const auto& suspect : request) {
            if (suspect.answered_at) {
                this->record_answer(suspect.part, *suspect.answered_at);
            }
        }
    }
    this->record(crash);
}

auto prompt_quarantine::decide(core::time_point now) -> part_hashes
{
    auto added = part_hashes();
    for (auto& crash : this->crashes) {
        if (!std::exchange(crash.is_undecided, false) ||
            this->is_explained(crash)) {
            continue;
        }
        auto chosen = this->choose(crash, false);
        if (chosen.empty()) {
            chosen = this->choose(crash, true);
        }
        for (const auto part : chosen) {
            this->entries[part] = {true, crash.at, now + quarantine_time};
            added.push_back(part);
        }
    }
    return added;
}

auto prompt_quarantine::on_answers(const std::vector<known_part>& parts,
                                   core::time_point now)
    -> std::vector<known_part>
{
    auto cleared = std::vector<known_part>();
    for (const auto& answer : parts) {
        const auto at = answer.answered_at.value_or(now);
        const auto before = this->count_crashes(answer.part);
        const auto is_new = !this->answered_at(answer.part);
        this->record_answer(answer.part, at);
        auto is_released = false;
        const auto found = this->entries.find(answer.part);
        if (found != this->entries.end() && found->second.is_active &&
            at > found->second.since) {
            found->second = {false, at, now + release_retention};
            is_released = true;
        }
        if (is_released ||
            (before > 0 &&
             (is_new || this->count_crashes(answer.part) < before))) {
            cleared.push_back({answer.part, at});
        }
    }
    return cleared;
}

auto prompt_quarantine::newer_answers(const upstream_crash& crash) const
    -> std::vector<known_part>
{
    auto newer = std::map<std::uint64_t, core::time_point>();
    for (const auto& request : crash.requests) {
        for (const auto& suspect : request) {
            const auto at = this->answered_at(suspect.part);
            if (at && (!suspect.answered_at || *at > *suspect.answered_at)) {
                newer[suspect.part] = *at;
            }
        }
    }
    auto answers = std::vector<known_part>();
    for (const auto& [part, at] : newer) {
        answers.push_back({part, at});
    }
    return answers;
}

auto prompt_quarantine::adopt(const part_hashes& parts, core::time_point now)
    -> part_hashes
{
    auto added = part_hashes();
    for (const auto part : parts) {
        if (!this->entries.contains(part) &&
            this->entries.size() < max_entries) {
            this->entries[part] = {true, now, now + quarantine_time};
            added.push_back(part);
        }
    }
    return added;
}

auto prompt_quarantine::find(const part_hashes& parts, core::time_point now)
    -> std::optional<std::uint64_t>
{
    const auto found =
        std::find_if(parts.begin(), parts.end(),
                     [this](auto part) { return this->is_active(part); });
    if (found == parts.end()) {
        return std::nullopt;
    }
    this->entries[*found].until = now + quarantine_time;
    return *found;
}

auto prompt_quarantine::expire(core::time_point now) -> part_hashes
{
    while (!this->crashes.empty() &&
           this->crashes.front().at < now - crash_retention) {
        this->crashes.pop_front();
    }
    auto released = part_hashes();
    for (auto& [part, known] : this->entries) {
        if (known.is_active && known.until <= now) {
            known = {false, now, now + release_retention};
            released.push_back(part);
        }
    }
    std::erase_if(this->entries, [now](const auto& item) {
        return !item.second.is_active && item.second.until <= now;
    });
    return released;
}

auto prompt_quarantine::parts() const -> part_hashes
{
    auto active = part_hashes();
    for (const auto& [part, known] : this->entries) {
        if (known.is_active) {
            active.push_back(part);
        }
    }
    return active;
}

} // namespace almondtiller::dispatch
